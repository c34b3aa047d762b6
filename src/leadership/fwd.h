// Forward declarations of the leadership slice: who may promote, who leads each group, and how leadership moves.
#pragma once

namespace cardamomstep::leadership {

struct GroupRecord;
class HolderLease;
class ViewBook;
class Suspicion;
class Attendance;
class Promotion;

} // namespace cardamomstep::leadership
