// Forward declarations of the groups module.
#pragma once

#include <cstdint>

namespace cardamomstep {

struct GroupPolicy;
struct GroupMember;
struct PeerObservation;
struct PrimaryInfo;
enum class OrderKind : std::uint8_t;
enum class PromotionReason : std::uint8_t;
enum class AuditEventKind : std::uint8_t;
enum class QuorumState : std::uint8_t;
class AckTracker;
class GroupMonitor;
class ReadIndexRounds;
class Switchover;

} // namespace cardamomstep
