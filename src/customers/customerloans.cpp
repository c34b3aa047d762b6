// Loans of tokens between proxies: when to ask for them, and how many to give.
#include "customers/customerlimits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstep::customers {

namespace {

/// A lender keeps what it expects to need within this time.
constexpr double lenderNeedSeconds = 0.3;
/// A borrower asks for what it expects to need within this time; it must be shorter than minLoanLifetime.
constexpr double borrowerNeedSeconds = 0.2;
/// A proxy asks early enough for the loan to arrive before its tokens run out.
constexpr double loanLeadSeconds = 0.03;
/// A proxy that expects fewer operations than this within borrowerNeedSeconds borrows only for callers that it refused, since the next
/// operation may come after the loan's end.
constexpr double minEarlyLoan = 3;
constexpr Milliseconds minLoanBackoff{250};
constexpr Milliseconds maxLoanBackoff{1000};

} // namespace

std::vector<LoanRequest> CustomerLimits::takeLoanRequests(TimePoint now)
{
    tick(now);
    std::vector<LoanRequest> requests;
    for (const auto &customer : std::exchange(wantLoans_, {})) {
        const auto found = customers_.find(customer);
        if (found == customers_.end()) {
            continue;
        }
        auto &state = found->second;
        state.wantsLoan = false;
        refill(state, now);
        const auto needed = std::floor(demandOf(state, now) * borrowerNeedSeconds - available(state));
        state.loanInFlight = true;
        state.loanRequestedAt = now;
        requests.push_back({customer, static_cast<std::uint32_t>(std::clamp(needed, 1.0, 1e6))});
    }
    return requests;
}

std::uint32_t CustomerLimits::lend(const CustomerName &customer, std::uint32_t wanted, TimePoint now)
{
    tick(now);
    const auto found = customers_.find(customer);
    if (found == customers_.end() || !found->second.limit) {
        return 0;
    }
    auto &state = found->second;
    refill(state, now);
    const auto spare = std::floor(state.tokens - demandOf(state, now) * lenderNeedSeconds + tokenTolerance);
    const auto granted = std::min(static_cast<double>(wanted), spare);
    if (granted < 1) {
        return 0;
    }
    state.tokens -= granted;
    state.lent.push_back({granted, now + loanLifetimeOf(*state.limit, terms_)});
    const auto count = static_cast<std::uint32_t>(granted);
    report("tokens_lent", customer, state, state.lendings, count, now);
    return count;
}

void CustomerLimits::onLoan(const CustomerName &customer, std::uint32_t granted, TimePoint now)
{
    tick(now);
    const auto found = customers_.find(customer);
    if (found == customers_.end() || !std::exchange(found->second.loanInFlight, false)) {
        return;
    }
    auto &state = found->second;
    refill(state, now);
    if (granted == 0) {
        state.loanBackoff = std::clamp(state.loanBackoff * 2, minLoanBackoff, maxLoanBackoff);
        state.nextLoanAt = now + state.loanBackoff;
        return;
    }
    state.loanBackoff = Milliseconds{0};
    if (!state.limit) {
        return;
    }
    const auto until = state.loanRequestedAt + loanLifetimeOf(*state.limit, terms_);
    // The lender counts the tokens as its own again from that time on.
    if (now < until && state.loanRequestedAt >= pauseEndedAt_) {
        state.borrowed.push_back({static_cast<double>(granted), until});
        report("tokens_borrowed", customer, state, state.borrowings, granted, now);
    }
}

/// Marks the customer for takeLoanRequests() if its tokens run out while its demand is above this proxy's share.
void CustomerLimits::requestLoan(const CustomerName &customer, State &state, bool admitted, TimePoint now)
{
    if (state.wantsLoan || state.loanInFlight || now < state.nextLoanAt) {
        return;
    }
    const auto left = available(state);
    const bool aboveShare = state.demand > bucketOf(state).perSecond;
    const bool early = state.demand * borrowerNeedSeconds >= minEarlyLoan;
    if (left < (early ? 1 + state.demand * loanLeadSeconds : 1) && aboveShare && (early || !admitted)) {
        state.wantsLoan = true;
        wantLoans_.push_back(customer);
    }
}

} // namespace cardamomstep::customers
