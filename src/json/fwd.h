// Forward declarations of the json slice: checked reading of JSON texts that people wrote.
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
