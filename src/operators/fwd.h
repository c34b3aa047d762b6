// Forward declarations of the operators module: the operators' HTTP interface.
#pragma once

namespace cardamomstep::operators {

struct StoredText;
struct ProxyInfo;
struct Route;
struct ProposedChange;
struct HistoryFilter;
struct OperatorOptions;

} // namespace cardamomstep::operators
