// Terms, writes, transactions and replication of a stand-in member.
#include "memberstate.h"

namespace cardamomstep::standins {

using Json = nlohmann::json;

namespace {

CallResult refusal(std::string name, std::string description)
{
    CallResult result;
    result.refusal = std::move(name);
    result.description = std::move(description);
    return result;
}

} // namespace

MemberState::MemberState(std::string name, const std::string &stateFile)
    : name_(std::move(name))
{
    if (!stateFile.empty()) {
        readState(stateFile);
        file_.open(stateFile, std::ios::app);
    }
}

bool MemberState::adopt(const Term &term)
{
    if (term < adopted_) {
        return false;
    }
    if (term > adopted_) {
        setAdopted(term);
    }
    return true;
}

bool MemberState::lead(const Term &term, std::int64_t now)
{
    if (term != adopted_ || term == Term{}) {
        return false;
    }
    if (isPrimary_) {
        return true;
    }
    setPrimary(std::nullopt);
    isPrimary_ = true;
    Entry start;
    start.term = term;
    start.writtenAt = now;
    append(std::move(start));
    return true;
}

bool MemberState::follow(const Term &term, Primary primary)
{
    const bool leadsAtThisTerm = isPrimary_ && term == adopted_;
    if (term < adopted_ || leadsAtThisTerm || primary.name == name_) {
        return false;
    }
    if (term > adopted_) {
        setAdopted(term);
    }
    setPrimary(std::move(primary));
    return true;
}

CallResult MemberState::execute(const Call &call, std::uint64_t connection, std::int64_t now)
{
    if (auto refused = checkTerm(call)) {
        return *refused;
    }
    if (!call.transaction.empty()) {
        return executeInTransaction(call, connection);
    }
    if (hasTransaction(connection)) {
        ++mixedStatements_;
        return refusal("transaction-unknown", "this connection has a transaction open");
    }
    if (call.write) {
        if (auto stored = storedResultOf(call)) {
            return *stored;
        }
    } else if (!isReading(call.operation)) {
        return refusal("statement-failed", "the operation changes rows, but the call is a read");
    }
    std::map<std::string, std::optional<Json>> changes;
    RowOverlay overlay(log_.rows(), changes);
    auto operationResult = run(call.operation, overlay);
    if (operationResult.failure) {
        return refusal("statement-failed", *operationResult.failure);
    }
    CallResult result;
    result.rows = operationResult.rows;
    if (call.write) {
        result.logPosition = write(call, {call.operation}, operationResult.rows, now);
        result.changed = true;
    }
    return result;
}

CallResult MemberState::executeInTransaction(const Call &call, std::uint64_t connection)
{
    auto *transaction = findTransaction(call.transaction, connection);
    if (transaction == nullptr) {
        return refusal("transaction-unknown", "the transaction is not open on this connection");
    }
    if (!call.write && !isReading(call.operation)) {
        return refusal("statement-failed", "the operation changes rows, but the call is a read");
    }
    RowOverlay overlay(log_.rows(), transaction->changes);
    auto operationResult = run(call.operation, overlay);
    if (operationResult.failure) {
        return refusal("statement-failed", *operationResult.failure);
    }
    transaction->lastChangeSeen.emplace(call.operation.key, log_.lastChangeOf(call.operation.key));
    if (!isReading(call.operation)) {
        transaction->operations.push_back(call.operation);
    }
    CallResult result;
    result.rows = std::move(operationResult.rows);
    result.transaction = call.transaction;
    return result;
}

CallResult MemberState::begin(const Call &call, std::uint64_t connection)
{
    if (auto refused = checkTerm(call)) {
        return *refused;
    }
    if (hasTransaction(connection)) {
        ++mixedStatements_;
        return refusal("transaction-unknown", "this connection has a transaction open");
    }
    CallResult result;
    result.transaction = name_ + "-t" + std::to_string(++lastTransaction_);
    transactions_[result.transaction].connection = connection;
    return result;
}

CallResult MemberState::commit(const Call &call, std::uint64_t connection, std::int64_t now)
{
    auto writeCall = call;
    writeCall.write = true;
    if (auto refused = checkTerm(writeCall)) {
        return *refused;
    }
    if (auto stored = storedResultOf(call)) {
        return *stored;
    }
    auto *transaction = findTransaction(call.transaction, connection);
    if (transaction == nullptr) {
        return refusal("transaction-unknown", "the transaction is not open on this connection");
    }
    auto finished = std::move(*transaction);
    transactions_.erase(call.transaction);
    if (!rowsUnchanged(finished)) {
        return refusal("statement-failed", "another entry changed a row of this transaction; it is rolled back");
    }
    CallResult result;
    result.logPosition = write(call, std::move(finished.operations), Json::array(), now);
    result.changed = true;
    return result;
}

CallResult MemberState::rollback(const Call &call, std::uint64_t connection)
{
    if (findTransaction(call.transaction, connection) == nullptr) {
        return refusal("transaction-unknown", "the transaction is not open on this connection");
    }
    transactions_.erase(call.transaction);
    return {};
}

void MemberState::closed(std::uint64_t connection)
{
    for (auto open = transactions_.begin(); open != transactions_.end();) {
        open = open->second.connection == connection ? transactions_.erase(open) : std::next(open);
    }
}

bool MemberState::replicate(const Term &term, std::uint64_t previous, Entry entry)
{
    if (term != adopted_ || isPrimary_ || previous > log_.size()) {
        return false;
    }
    const auto index = previous + 1;
    if (index <= log_.size()) {
        if (log_.termAt(index) == entry.term) {
            return true;
        }
        truncate(previous);
    }
    append(std::move(entry));
    return true;
}

void MemberState::dropTail(const Term &term, std::uint64_t index)
{
    if (term == adopted_ && !isPrimary_ && index < log_.size()) {
        truncate(index);
    }
}

std::optional<CallResult> MemberState::checkTerm(const Call &call) const
{
    if (!call.write && !call.needsPrimary) {
        return std::nullopt;
    }
    if (call.term < adopted_) {
        return refusal("lower-term", "this member has adopted term " + toText(adopted_));
    }
    if (!isPrimary_ || call.term > adopted_) {
        return refusal("not-primary", "this member is not the primary at term " + toText(call.term));
    }
    return std::nullopt;
}

std::optional<CallResult> MemberState::storedResultOf(const Call &call) const
{
    const auto index = log_.findRequest(call.requestId);
    if (call.requestId.empty() || index == 0) {
        return std::nullopt;
    }
    const auto &entry = log_.at(index);
    if (entry.fingerprint != call.fingerprint) {
        return refusal("request-id-reused", "the log holds the request id with another fingerprint");
    }
    CallResult result;
    result.rows = entry.rows;
    result.logPosition = log_.positionAt(index);
    result.repeated = true;
    return result;
}

MemberState::Transaction *MemberState::findTransaction(const std::string &id, std::uint64_t connection)
{
    const auto found = transactions_.find(id);
    return found == transactions_.end() || found->second.connection != connection ? nullptr : &found->second;
}

bool MemberState::hasTransaction(std::uint64_t connection) const
{
    for (const auto &[id, transaction] : transactions_) {
        if (transaction.connection == connection) {
            return true;
        }
    }
    return false;
}

bool MemberState::rowsUnchanged(const Transaction &transaction) const
{
    for (const auto &[key, change] : transaction.lastChangeSeen) {
        if (log_.lastChangeOf(key) != change) {
            return false;
        }
    }
    return true;
}

LogPosition MemberState::write(const Call &call, std::vector<Operation> operations, Json rows, std::int64_t now)
{
    append({adopted_, std::move(operations), call.requestId, call.fingerprint, std::move(rows), now});
    return log_.last();
}

void MemberState::append(Entry entry)
{
    persist({{"entry", toJson(entry)}});
    log_.append(std::move(entry));
}

void MemberState::truncate(std::uint64_t index)
{
    persist({{"truncate", index}});
    log_.truncate(index);
}

void MemberState::setAdopted(const Term &term)
{
    adopted_ = term;
    isPrimary_ = false;
    transactions_.clear();
    persist({{"adopted", toText(term)}});
}

void MemberState::setPrimary(std::optional<Primary> primary)
{
    primary_ = std::move(primary);
    persist({{"primary", primary_ ? primary_->name : ""}, {"address", primary_ ? primary_->address : ""}});
}

void MemberState::readState(const std::string &stateFile)
{
    std::ifstream file(stateFile);
    std::string text;
    while (std::getline(file, text)) {
        const auto line = Json::parse(text, nullptr, false);
        if (line.is_discarded()) { // incomplete, as after a kill during the write
            return;
        }
        if (line.contains("adopted")) {
            const auto term = parseTerm(line["adopted"].get<std::string>());
            adopted_ = term ? *term : adopted_;
        } else if (line.contains("entry")) {
            log_.append(entryFromJson(line["entry"]));
        } else if (line.contains("truncate")) {
            log_.truncate(line["truncate"].get<std::uint64_t>());
        } else if (line["primary"].get<std::string>().empty()) {
            primary_.reset();
        } else {
            primary_ = Primary{line["primary"].get<std::string>(), line["address"].get<std::string>()};
        }
    }
}

void MemberState::persist(const Json &line)
{
    if (file_.is_open()) {
        file_ << line.dump() << std::endl;
    }
}

} // namespace cardamomstep::standins
