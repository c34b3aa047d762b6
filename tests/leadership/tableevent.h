// What can happen in the model of primary tables.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep::leadership::test {

/// What can happen next.
enum class TableEventKind : std::uint8_t {
    ContendForLease, ///< Reads the lease, writes it if that is due, and gets the reply.
    List, ///< Lists the fleet's objects, and renews the primary table from them.
    Register, ///< Writes its own entry if the store is not known to contain it.
    RenewFromHolder, ///< Renews its table from the lease holder.
    RenewFromPeer, ///< Renews its table from the proxy with the next number.
    HolderDuties, ///< Does what the lease holder does regularly.
    StartChange, ///< Records a primary change and lists the proxies to quiesce.
    Quiesce, ///< Is quiesced by the proxy with a primary change in progress.
    Promote, ///< Has another member promoted.
    Publish, ///< Stores the record of the promoted member.
    Restart, ///< The process is killed and started again.
    Rise, ///< The store loses its newest writes and starts a new epoch; the argument is the number of writes lost, less one.
    Wait, ///< Time passes; the argument selects how much.
};

struct TableEvent {
    TableEventKind kind;
    /// The number of the proxy, unless the kind says otherwise.
    std::size_t argument = 0;
};

[[nodiscard]] inline std::string toText(const std::vector<TableEvent> &events)
{
    static const char *const names[] = {"contend",
                                        "list",
                                        "register",
                                        "renew-from-holder",
                                        "renew-from-peer",
                                        "holder-duties",
                                        "start-change",
                                        "quiesce",
                                        "promote",
                                        "publish",
                                        "restart",
                                        "rise",
                                        "wait"};
    std::string text;
    for (const auto &event : events) {
        text += std::string(names[static_cast<std::size_t>(event.kind)]) + "(" + std::to_string(event.argument) + ") ";
    }
    return text;
}

} // namespace cardamomstep::leadership::test
