// Enforces customers' rate limits at one proxy: token buckets, and loans between the serving proxies of a customer.
//
// Does no I/O and reads no clock. The reasons for the rules are in docs/design/limits.md.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "customers/customer.h"
#include "customers/limitbudget.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamomstep::customers {

/// A request for tokens, for another proxy that serves the customer.
struct LoanRequest {
    CustomerName customer;
    /// Number of operations.
    std::uint32_t wanted = 0;
};

/// What happened to a customer's tokens since the last event of its kind; there is at most one a second of each kind and customer.
struct LimitEvent {
    /// The name of the log event: limit_refused, tokens_borrowed or tokens_lent.
    std::string_view name;
    CustomerName customer;
    /// Operations refused, or tokens moved.
    std::uint64_t count = 0;
    /// Tokens that this proxy has left.
    double tokens = 0;
};

/// A customer's counts since the start of the process.
struct CustomerCounts {
    CustomerName customer;
    std::uint64_t operations = 0;
    std::uint64_t refused = 0;
};

/// A customer's limit at this proxy.
struct LimitStatus {
    RateLimit limit;
    /// Tokens that can be spent now, borrowed ones included.
    double tokens = 0;
    /// Rate and capacity at this proxy.
    BucketSize bucket;
};

/// Admits operations of customers.
///
/// Invariant: at any time, a proxy's tokens and those that it lent within loanLifetimeOf() are not more than the capacity of its bucket.
class CustomerLimits
{
public:
    /// A time without calls from which the process counts as having been paused: it may act on an old set of serving proxies, so its
    /// tokens and shares are withdrawn. LimitTerms::shareDelay depends on it.
    static constexpr Milliseconds pauseThreshold{1500};

    /// \a startFull is true if no process of the fleet has admitted operations before and all of them see the same serving proxies: then
    /// the customers of the first configuration that has any start with full buckets.
    CustomerLimits(const LimitTerms &terms, std::uint64_t seed, bool startFull);

    /// Sets all customers of a version.
    void configure(const std::vector<Customer> &customers, TimePoint now);
    /// Sets what this proxy enforces of a customer's limit.
    void setServing(const CustomerName &customer, const LimitShare &share, TimePoint now);
    /// Notes that this process' shares were never withdrawn: its instance was still registered when the process started. Shares that are
    /// set within LimitTerms::shareDelay from now, or were set before, take effect at once, with few tokens: what a former process of the
    /// instance did not spend is lost, and no other proxy has taken its shares.
    void resumeShares(TimePoint now);
    /// Calls setServing() for all customers with a limit, with the results of \a shareOf.
    void updateShares(const std::function<LimitShare(const CustomerName &customer, const RateLimit &limit)> &shareOf, TimePoint now);

    /// Takes a token for one operation; the error is ErrorKind::LimitExceeded, with a retry-after time. Customers that are not configured
    /// or have no limit are always admitted.
    [[nodiscard]] Result<Success> admit(const CustomerName &customer, TimePoint now);

    /// Returns the loans to request now; each must be followed by exactly one onLoan().
    [[nodiscard]] std::vector<LoanRequest> takeLoanRequests(TimePoint now);
    /// Gives up to \a wanted tokens to another proxy and returns their number.
    [[nodiscard]] std::uint32_t lend(const CustomerName &customer, std::uint32_t wanted, TimePoint now);
    /// Handles the result of a loan request; \a granted is 0 if the call failed.
    void onLoan(const CustomerName &customer, std::uint32_t granted, TimePoint now);

    /// Notes that the process is running; call it at least every pauseThreshold.
    void tick(TimePoint now);

    /// Returns the events since the last call.
    [[nodiscard]] std::vector<LimitEvent> takeEvents();
    /// Returns the \a count customers with the most operations or refusals, highest first.
    [[nodiscard]] std::vector<CustomerCounts> busiest(std::size_t count) const;
    /// Returns the state of a customer's limit; nothing if it has none.
    [[nodiscard]] std::optional<LimitStatus> status(const CustomerName &customer, TimePoint now);

private:
    struct Loan {
        double tokens = 0;
        TimePoint until;
    };

    /// Counts towards one kind of event.
    struct EventCount {
        std::uint64_t count = 0;
        TimePoint nextAt;
    };

    struct State {
        std::optional<RateLimit> limit;
        DelayedShare serving;
        /// 1 for the standby.
        DelayedShare reserve;
        bool shareKnown = false;
        /// The first share takes effect at once, with a full bucket.
        bool startsFull = false;
        double tokens = 0;
        TimePoint refilledAt;
        /// When the bucket last held more than exhaustedBucket() may, loans to others included.
        TimePoint lastPlentyAt;
        /// Number of process pauses as of the last refill.
        std::uint64_t pauses = 0;
        std::vector<Loan> borrowed;
        std::vector<Loan> lent;
        /// Smoothed rate of operations, admitted or not, as of demandAt.
        double demand = 0;
        TimePoint demandAt;
        bool wantsLoan = false;
        bool loanInFlight = false;
        TimePoint loanRequestedAt;
        TimePoint nextLoanAt;
        Milliseconds loanBackoff{0};
        std::uint64_t operations = 0;
        std::uint64_t refused = 0;
        EventCount refusals;
        EventCount borrowings;
        EventCount lendings;
    };

    void applyShare(State &state, const LimitShare &share, TimePoint now) const;
    void resume(State &state, TimePoint now) const;
    [[nodiscard]] BucketSize bucketOf(const State &state) const noexcept;
    [[nodiscard]] bool exhausted(const State &state) const noexcept;
    void withdraw(State &state, TimePoint now) const;
    void refill(State &state, TimePoint now) const;
    static void refillUntil(State &state, const BucketSize &bucket, TimePoint time);
    [[nodiscard]] static double lentTokens(const State &state) noexcept;
    [[nodiscard]] static bool spend(State &state);
    [[nodiscard]] static double available(const State &state) noexcept;
    [[nodiscard]] static double demandOf(const State &state, TimePoint now) noexcept;
    void requestLoan(const CustomerName &customer, State &state, bool admitted, TimePoint now);
    [[nodiscard]] Milliseconds retryAfterOf(const State &state);
    void
    report(std::string_view name, const CustomerName &customer, State &state, EventCount &eventCount, std::uint64_t count, TimePoint now);

    LimitTerms terms_;
    Random random_;
    bool startFull_;
    std::unordered_map<CustomerName, State> customers_;
    /// Customers with State::wantsLoan.
    std::vector<CustomerName> wantLoans_;
    std::vector<LimitEvent> events_;
    std::optional<TimePoint> lastCallAt_;
    std::uint64_t pauses_ = 0;
    TimePoint pauseEndedAt_;
    /// See resumeShares(); the clock's origin unless it was called.
    TimePoint resumesUntil_;
};

} // namespace cardamomstep::customers
