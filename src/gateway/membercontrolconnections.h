// The control connections of the lease holder, one to each member.
#pragma once

#include "gateway/leadershipcontext.h"
#include "gateway/membercontrolconnection.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace cardamomstep::gateway {

/// Opens, maintains and closes control connections.
template<relay::WireCodec Wire, typename Store>
class MemberControlConnections
{
public:
    using Control = MemberControlConnection<Wire>;

    explicit MemberControlConnections(LeadershipContext<Store> &context)
        : context_(context)
    {
    }

    /// Sends one request to \a member, with \a term as its argument unless that is 0.
    void send(const relay::MemberEntry &member, relay::MemberVerb verb, std::uint64_t term, typename Control::Handler done)
    {
        auto &control = controlConnections_[member.name];
        if (!control || control->member().address != member.address) {
            if (control) {
                control->close();
            }
            control = std::make_shared<Control>(context_.loop, member);
        }
        relay::MemberRequest request;
        request.verb = verb;
        request.text = term == 0 ? std::string() : std::to_string(term);
        control->send(std::move(request), std::move(done));
    }

    /// Sends one request to the member named \a name; false when the directory has no such member.
    bool send(const MemberName &name, relay::MemberVerb verb, std::uint64_t term, typename Control::Handler done)
    {
        const auto *member = context_.host.directory.find(name);
        if (member != nullptr) {
            send(*member, verb, term, std::move(done));
        }
        return member != nullptr;
    }

    /// Closes connections whose oldest request got no reply within `controlTimeout`.
    void expire(TimePoint now)
    {
        for (auto &[member, control] : controlConnections_) {
            control->expire(now, context_.limits.controlTimeout);
        }
    }

    /// Maintains a connection to each member, so that a primary change does not start with opening them; closes those of removed members.
    void maintainConnections(TimePoint now)
    {
        if (now - maintainedAt_ < context_.limits.probeInterval) {
            return;
        }
        maintainedAt_ = now;
        for (const auto &[name, member] : context_.host.directory.all()) {
            const auto control = controlConnections_.find(name);
            if (control == controlConnections_.end() || !control->second->connected()) {
                send(member, relay::MemberVerb::Status, 0, [](const ControlReply &) {});
            }
        }
        std::erase_if(controlConnections_, [this](const auto &control) {
            const bool removed = context_.host.directory.find(control.first) == nullptr && control.second->pending() == 0;
            if (removed) {
                control.second->close();
            }
            return removed;
        });
    }

    void closeAll()
    {
        for (auto &[member, control] : controlConnections_) {
            control->close();
        }
        controlConnections_.clear();
    }

private:
    LeadershipContext<Store> &context_;
    std::map<MemberName, std::shared_ptr<Control>> controlConnections_;
    TimePoint maintainedAt_;
};

} // namespace cardamomstep::gateway
