// Forward declarations of the operators slice: the interface that operators' commands speak to.
#pragma once

namespace cardamomstep::operators {

struct StoredText;
struct ProxyInfo;
struct Route;
struct ProposedChange;
struct HistoryFilter;
struct OperatorOptions;

} // namespace cardamomstep::operators
