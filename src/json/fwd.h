// Forward declarations of the json module: validated reading of hand-written JSON texts.
#pragma once

namespace cardamomstep {

template<typename T>
class Checked;

namespace json {

struct Fault;
struct TextLimits;
struct DuplicateKey;
class LineIndex;
class ObjectReader;
struct Document;

} // namespace json

} // namespace cardamomstep
