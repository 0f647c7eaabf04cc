#include "ragwortpin/peers/control_rpc_jsonrpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <openssl/evp.h>

#include <cstddef>
#include <stdexcept>
#include <vector>

namespace ragwortpin {

namespace {

constexpr const char *GetConfigurationMethod = "configuration.get";
constexpr const char *GetStatusMethod = "status";

/** Base64 encodes three bytes as four characters. */
constexpr std::size_t Base64Bytes = 3;
constexpr std::size_t Base64Characters = 4;

std::string toBase64(const std::string &bytes)
{
    std::vector<unsigned char> text((bytes.size() + Base64Bytes - 1) / Base64Bytes * Base64Characters + 1);
    const auto *data = reinterpret_cast<const unsigned char *>(bytes.data());
    const auto size = EVP_EncodeBlock(text.data(), data, static_cast<int>(bytes.size()));
    return std::string(text.begin(), text.begin() + size);
}

std::string fromBase64(const std::string &text)
{
    if (text.empty()) {
        return std::string();
    }
    std::vector<unsigned char> bytes(text.size() / Base64Characters * Base64Bytes + Base64Bytes);
    const auto *data = reinterpret_cast<const unsigned char *>(text.data());
    const auto size = EVP_DecodeBlock(bytes.data(), data, static_cast<int>(text.size()));
    if (size < 0) {
        throw std::invalid_argument("the middle of the configuration answer is not valid base64");
    }
    const auto last = text.find_last_not_of('=');
    const auto padding = text.size() - 1 - (last == std::string::npos ? 0 : last);
    if (padding > 2) {
        throw std::invalid_argument("the middle of the configuration answer is not valid base64");
    }
    return std::string(bytes.begin(), bytes.begin() + size - static_cast<std::ptrdiff_t>(padding));
}

Json::Value toJson(const configuration_answer &answer)
{
    Json::Value result;
    result["revision"] = Json::Value::UInt64(answer.revision);
    result["digest"] = answer.digest;
    result["baseRevision"] = Json::Value::UInt64(answer.baseRevision);
    result["prefixBytes"] = Json::Value::UInt64(answer.prefixBytes);
    result["suffixBytes"] = Json::Value::UInt64(answer.suffixBytes);
    result["middle"] = toBase64(answer.middle);
    return result;
}

configuration_answer toConfiguration(const Json::Value &value)
{
    configuration_answer answer;
    answer.revision = value["revision"].asUInt64();
    answer.digest = value["digest"].asString();
    answer.baseRevision = value["baseRevision"].asUInt64();
    answer.prefixBytes = value["prefixBytes"].asUInt64();
    answer.suffixBytes = value["suffixBytes"].asUInt64();
    answer.middle = fromBase64(value["middle"].asString());
    return answer;
}

Json::Value toJson(const status_answer &answer)
{
    Json::Value result;
    result["name"] = answer.name;
    result["revision"] = Json::Value::UInt64(answer.revision);
    result["configuration"] = answer.configuration;
    result["instances"] = Json::Value::UInt64(answer.instances);
    return result;
}

status_answer toStatus(const Json::Value &value)
{
    status_answer answer;
    answer.name = value["name"].asString();
    answer.revision = value["revision"].asUInt64();
    answer.configuration = value["configuration"].asString();
    answer.instances = value["instances"].asUInt64();
    return answer;
}

/** Connector that passes one request to libjsonrpccpp and stores the response. */
class capturing_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string &response, void *) override
    {
        m_response = response;
        return true;
    }

    const std::string &response() const
    {
        return m_response;
    }

private:
    std::string m_response;
};

/** Binds the control methods to the JSON-RPC procedures configuration.get and status. */
class control_server : public jsonrpc::AbstractServer<control_server>
{
public:
    control_server(jsonrpc::AbstractServerConnector &connector, const control_methods &handlers)
        : jsonrpc::AbstractServer<control_server>(connector)
        , m_methods(handlers)
    {
        using jsonrpc::Procedure;
        bindAndAddMethod(
            Procedure(GetConfigurationMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "baseRevision", jsonrpc::JSON_STRING, nullptr),
            &control_server::getConfiguration);
        bindAndAddMethod(Procedure(GetStatusMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), &control_server::getStatus);
    }

    void getConfiguration(const Json::Value &request, Json::Value &response)
    {
        std::uint64_t baseRevision = 0;
        try {
            baseRevision = std::stoull(request["baseRevision"].asString());
        } catch (const std::logic_error &) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "baseRevision is not a number");
        }
        response = toJson(m_methods.getConfiguration(baseRevision));
    }

    void getStatus(const Json::Value &, Json::Value &response)
    {
        response = toJson(m_methods.getStatus());
    }

private:
    const control_methods &m_methods;
};

/** Client connector that sends requests through a control_transport. */
class transport_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(const control_transport &transport)
        : m_transport(transport)
    { }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            "the transport returned no valid answer to the control call");
        }
    }

private:
    const control_transport &m_transport;
};

template<typename Answer, typename Convert>
bool call(const control_transport &transport, const char *method, const Json::Value &parameters, Convert convert, Answer &answer)
{
    transport_connector connector(transport);
    jsonrpc::Client client(connector);
    try {
        answer = convert(client.CallMethod(method, parameters));
        return true;
    } catch (const jsonrpc::JsonRpcException &) {
        return false;
    } catch (const Json::Exception &) {
        return false;
    } catch (const std::logic_error &) {
        return false;
    }
}

} // namespace

std::string processControlCall(const control_methods &methods, const std::string &body)
{
    capturing_connector connector;
    control_server server(connector, methods);
    connector.OnRequest(body);
    return connector.response();
}

bool callGetConfiguration(const control_transport &transport, std::uint64_t baseRevision, configuration_answer &answer)
{
    Json::Value parameters;
    parameters["baseRevision"] = std::to_string(baseRevision);
    return call(transport, GetConfigurationMethod, parameters, toConfiguration, answer);
}

bool callGetStatus(const control_transport &transport, status_answer &answer)
{
    return call(transport, GetStatusMethod, Json::Value(Json::objectValue), toStatus, answer);
}

} // namespace ragwortpin
