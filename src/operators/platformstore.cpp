// Reads and writes records as objects of the platform's store.
#include "operators/platformstore.h"

#include "store/writer.h"

#include <utility>

namespace cardamomstep::operators {

namespace {

ObjectKey toObjectKey(const RecordKey &key)
{
    return {ObjectKind{std::string(toText(key.kind))}, ObjectName{key.name.text()}};
}

} // namespace

PlatformStore::PlatformStore(StoreClient &client, std::uint64_t seed, Milliseconds timeout)
    : client_(client)
    , timeout_(timeout)
    , random_(seed)
{
}

Result<StoredText> PlatformStore::get(const RecordKey &key)
{
    auto object = client_.get(toObjectKey(key), timeout_);
    if (!object) {
        return object.error();
    }
    return StoredText{key, object->version.value, std::move(object->value)};
}

Result<std::vector<StoredText>> PlatformStore::list(RecordKind kind)
{
    auto listing = client_.list(ObjectKind{std::string(toText(kind))}, timeout_);
    if (!listing) {
        return listing.error();
    }
    std::vector<StoredText> records;
    for (auto &object : listing->objects) {
        records.push_back({{kind, RecordName{object.name.text()}}, object.version.value, std::move(object.value)});
    }
    return records;
}

Result<std::uint64_t> PlatformStore::put(const RecordKey &key, const std::string &text, const StoredText *replaced)
{
    const auto objectKey = toObjectKey(key);
    const auto nonce = drawNonce();
    StoredObject before;
    if (replaced != nullptr) {
        before = {objectKey.kind, objectKey.name, Revision{replaced->version}, replaced->text};
    }
    auto value = withWriterStamp(text, nonce, replaced == nullptr ? nullptr : &before);
    if (!value) {
        return value.error();
    }
    const auto written = client_.put(objectKey, std::move(*value), before.version, nonce, timeout_);
    if (!written) {
        return written.error();
    }
    return written->version.value;
}

Result<std::uint64_t> PlatformStore::remove(const RecordKey &key, std::uint64_t version)
{
    const auto removed = client_.remove(toObjectKey(key), Revision{version}, timeout_);
    if (!removed) {
        return removed.error();
    }
    return removed->version.value;
}

WriterNonce PlatformStore::drawNonce()
{
    const std::lock_guard lock(mutex_);
    const auto first = random_();
    const auto second = random_();
    return WriterNonce{std::to_string(first) + "-" + std::to_string(second)};
}

} // namespace cardamomstep::operators
