// The control connections of the lease's holder, one to each member.
#pragma once

#include "gateway/leadershipcontext.h"
#include "gateway/membercontrolconnection.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace cardamomstep::gateway {

/// Opens, keeps and closes control connections.
template<relay::WireCodec Wire, typename Store>
class MemberControls
{
public:
    using Control = MemberControl<Wire>;

    explicit MemberControls(LeaderContext<Store> &context)
        : context_(context)
    {
    }

    /// Sends one request to \a member, with a term where it is not 0.
    void ask(const relay::MemberEntry &member, relay::MemberVerb verb, std::uint64_t term, typename Control::Handler done)
    {
        auto &control = controls_[member.name];
        if (!control || control->member().address != member.address) {
            if (control) {
                control->close();
            }
            control = std::make_shared<Control>(context_.loop, member);
        }
        relay::MemberRequest request;
        request.verb = verb;
        request.text = term == 0 ? std::string() : std::to_string(term);
        control->ask(std::move(request), std::move(done));
    }

    /// Sends one request to the member named \a name; false when it is not known.
    bool ask(const MemberName &name, relay::MemberVerb verb, std::uint64_t term, typename Control::Handler done)
    {
        const auto *member = context_.host.directory.find(name);
        if (member != nullptr) {
            ask(*member, verb, term, std::move(done));
        }
        return member != nullptr;
    }

    /// Gives up requests that were not answered in time.
    void expire(TimePoint now)
    {
        for (auto &[member, control] : controls_) {
            control->expire(now, context_.limits.controlPatience);
        }
    }

    /// Keeps a connection to each member, so that a move does not begin with opening them.
    void keepOpen(TimePoint now)
    {
        if (now - keptAt_ < context_.limits.probeInterval) {
            return;
        }
        keptAt_ = now;
        for (const auto &[name, member] : context_.host.directory.all()) {
            const auto control = controls_.find(name);
            if (control == controls_.end() || !control->second->connected()) {
                ask(member, relay::MemberVerb::Status, 0, [](const ControlAnswer &) {});
            }
        }
        std::erase_if(controls_, [this](const auto &control) {
            const bool gone = context_.host.directory.find(control.first) == nullptr && control.second->pending() == 0;
            if (gone) {
                control.second->close();
            }
            return gone;
        });
    }

    void closeAll()
    {
        for (auto &[member, control] : controls_) {
            control->close();
        }
        controls_.clear();
    }

private:
    LeaderContext<Store> &context_;
    std::map<MemberName, std::shared_ptr<Control>> controls_;
    TimePoint keptAt_;
};

} // namespace cardamomstep::gateway
