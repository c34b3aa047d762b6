// Reads the client options, sends requests to a proxy and turns its answers into JSON or errors.
#include "cli/client.h"

#include "cli/commandline.h"
#include "http/address.h"
#include "json/document.h"
#include "json/reader.h"
#include "json/untrusted.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

namespace cardamomstep::cli {

namespace {

using Json = nlohmann::json;

constexpr json::Length addressLength{1, 64};
constexpr json::Length tokenLength{16, 256};
constexpr json::Length operatorLength{1, 128};
constexpr int firstFailureStatus = 400;

std::string environmentVariable(const char *name)
{
    const auto *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    return value == nullptr ? std::string() : std::string(value);
}

std::string firstNonEmpty(const std::vector<std::string> &values)
{
    for (const auto &value : values) {
        if (!value.empty()) {
            return value;
        }
    }
    return {};
}

Error invalid(std::string description)
{
    return Error{ErrorKind::InvalidSettings, std::move(description)};
}

Checked<ClientOptions> readClientFile(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        return std::vector<Error>{invalid(fileName + ": the file cannot be read")};
    }
    const auto document = json::parseDocument(fileName, text, ErrorKind::InvalidSettings);
    if (!document) {
        return std::vector<Error>{document.error()};
    }
    std::vector<json::Fault> faults;
    json::ObjectReader reader(document->value, "", faults);
    ClientOptions options;
    options.address = Address{reader.optionalText("address", addressLength).value_or(std::string())};
    options.token = reader.optionalText("token", tokenLength).value_or(std::string());
    options.who = reader.optionalText("operator", operatorLength).value_or(std::string());
    reader.rejectUnknown();
    auto errors = json::faultErrors(*document, ErrorKind::InvalidSettings, faults);
    if (!errors.empty()) {
        return errors;
    }
    return options;
}

/// The error that \a fault, a part of the proxy's \a answer, describes.
Error readFault(const Json &fault, const Json &answer)
{
    auto kind = ErrorKind::Internal;
    if (!errorKindFromName(fault.value("error", std::string()), kind)) {
        kind = ErrorKind::Internal;
    }
    Error error{kind, fault.value("description", std::string("no description"))};
    const auto ran = answer.value("ran", std::string());
    error.ran = ran == "no" ? Ran::No : ran == "yes" ? Ran::Yes : Ran::Unknown;
    if (answer.contains("currentVersion") && answer["currentVersion"].is_number_unsigned()) {
        error.currentVersion = answer["currentVersion"].get<std::uint64_t>();
    }
    if (answer.contains("retryAfterMs") && answer["retryAfterMs"].is_number_integer()) {
        error.retryAfter = Milliseconds{answer["retryAfterMs"].get<std::int64_t>()};
    }
    const auto key = fault.value("key", std::string());
    if (!key.empty()) {
        error.position = SourcePosition{"", 0, key};
    }
    return error;
}

std::vector<Error> readFaults(const Json &answer)
{
    std::vector<Error> faults;
    try {
        for (const auto &fault : answer.value("faults", Json::array())) {
            faults.push_back(readFault(fault, answer));
        }
        if (faults.empty()) {
            faults.push_back(readFault(answer, answer));
        }
    } catch (const Json::exception &) {
        faults = {Error{ErrorKind::CorruptAnswer, "the proxy's answer has an unexpected format"}};
    }
    return faults;
}

bool isRead(const http::Request &request)
{
    return request.method == "GET";
}

Error failureOf(const http::Request &request, const http::ExchangeFailure &failure)
{
    const bool mayHaveRun = failure.stage == http::ExchangeStage::Sent && !isRead(request);
    if (mayHaveRun) {
        return Error{ErrorKind::OutcomeUnknown, failure.description + "; read the record back"};
    }
    return Error{ErrorKind::EndpointUnreachable, failure.description};
}

} // namespace

void addClientOptions(CommandLine &line)
{
    line.add("address", "operators' address of a proxy (or CARDAMOMSTEP_ADDRESS)", "IP:PORT");
    line.add("token", "operators' token (prefer CARDAMOMSTEP_TOKEN or a client file)", "TOKEN");
    line.add("operator", "your name for the audit trail (or CARDAMOMSTEP_OPERATOR, or USER)", "NAME");
    line.add("client", "JSON file with address, token and operator (or CARDAMOMSTEP_CLIENT)", "FILE");
}

Checked<ClientOptions> readClientOptions(const CommandLine &line)
{
    ClientOptions fromFile;
    const auto fileName = firstNonEmpty({line.text("client"), environmentVariable("CARDAMOMSTEP_CLIENT")});
    if (!fileName.empty()) {
        auto read = readClientFile(fileName);
        if (!read) {
            return read;
        }
        fromFile = std::move(*read);
    }
    ClientOptions options;
    options.address = Address{firstNonEmpty({line.text("address"), environmentVariable("CARDAMOMSTEP_ADDRESS"), fromFile.address.text()})};
    options.token = firstNonEmpty({line.text("token"), environmentVariable("CARDAMOMSTEP_TOKEN"), fromFile.token});
    options.who =
        firstNonEmpty({line.text("operator"), environmentVariable("CARDAMOMSTEP_OPERATOR"), fromFile.who, environmentVariable("USER")});
    std::vector<Error> faults;
    if (options.address.empty()) {
        faults.push_back(invalid("no address: give --address, CARDAMOMSTEP_ADDRESS or a client file"));
    } else if (!http::parseAddress(options.address)) {
        faults.push_back(invalid("address: expected IP:port, got \"" + options.address.text() + "\""));
    }
    if (options.token.empty()) {
        faults.push_back(invalid("no token: give CARDAMOMSTEP_TOKEN, a client file or --token"));
    }
    if (!faults.empty()) {
        return faults;
    }
    return options;
}

OperatorClient::OperatorClient(ClientOptions options)
    : options_(std::move(options))
    , connection_(options_.address)
{
}

Checked<nlohmann::json> OperatorClient::send(const ApiRequest &apiRequest)
{
    http::Request request{apiRequest.method, apiRequest.path, apiRequest.query, {}, apiRequest.body};
    request.headers["authorization"] = "Bearer " + options_.token;
    request.headers["x-operator"] = options_.who;
    if (apiRequest.expected) {
        request.headers["if-match"] = std::to_string(*apiRequest.expected);
    }
    if (apiRequest.minRevision > 0) {
        request.headers["x-min-revision"] = std::to_string(apiRequest.minRevision);
    }
    const auto timeout = options_.timeout + apiRequest.extraWait;
    const bool wasOpen = connection_.isOpen();
    auto answer = sendOnce(request, timeout);
    const bool staleConnection = !answer && wasOpen && isRead(request) && answer.faults().front().kind == ErrorKind::EndpointUnreachable;
    return staleConnection ? sendOnce(request, timeout) : answer;
}

Checked<nlohmann::json> OperatorClient::sendOnce(const http::Request &request, Milliseconds timeout)
{
    const auto result = connection_.exchange(request, timeout);
    if (!result.response) {
        return std::vector<Error>{failureOf(request, result.failure)};
    }
    auto body = json::parseUntrusted(result.response->body);
    if (!body.is_object()) {
        Error error{ErrorKind::CorruptAnswer, "the proxy's answer is not JSON (status " + std::to_string(result.response->status) + ")"};
        error.ran = isRead(request) ? Ran::No : Ran::Unknown;
        return std::vector<Error>{std::move(error)};
    }
    if (result.response->status >= firstFailureStatus) {
        return readFaults(body);
    }
    return body;
}

} // namespace cardamomstep::cli
