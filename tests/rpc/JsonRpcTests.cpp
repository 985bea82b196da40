#include "snipeweir/control/RpcAuthenticator.h"
#include "snipeweir/transport/HttpClient.h"
#include "snipeweir/transport/JsonRpcClient.h"
#include "snipeweir/transport/JsonRpcServer.h"

#include <doctest/doctest.h>
#include <json/json.h>

using namespace snipeweir;

namespace {

void addMethods(JsonRpcServer& server)
{
    server.add("echo", { "text" }, [](const Json::Value& parameters) -> Result<Json::Value> { return parameters; });
    server.add("fail", {}, [](const Json::Value&) -> Result<Json::Value> {
        return fail(ErrorCode::NotFound, "The call is not known here.");
    });
    server.add("throw", {}, [](const Json::Value&) -> Result<Json::Value> { throw std::runtime_error("broken"); });
}

JsonRpcReply callServer(JsonRpcServer& server, const std::string& method, const Json::Value& parameters)
{
    return JsonRpcClient([&](const std::string& request, std::string& response) {
        response = server.handle(request).body;
        return true;
    }).call(method, parameters);
}

Json::Value textParameter(const std::string& text)
{
    Json::Value parameters;
    parameters["text"] = text;
    return parameters;
}

}

TEST_CASE("A method's result or error reaches the caller, and each refused request is counted under its reason")
{
    JsonRpcServer server({});
    addMethods(server);
    const JsonRpcReply echo = callServer(server, "echo", textParameter("[{\"\\"));
    CHECK(echo.isOk);
    CHECK(echo.result["text"] == "[{\"\\");
    const JsonRpcReply failed = callServer(server, "fail", Json::objectValue);
    CHECK_FALSE(failed.isOk);
    CHECK(failed.error.find("The call is not known here.") != std::string::npos);
    CHECK(server.refusedCount(JsonRpcRefusal::MethodFailed) == 1);
    CHECK_FALSE(callServer(server, "throw", Json::objectValue).isOk);
    CHECK(server.refusedCount(JsonRpcRefusal::MethodFailed) == 2);
    CHECK_FALSE(callServer(server, "absent", Json::objectValue).isOk);
    CHECK(server.refusedCount(JsonRpcRefusal::UnknownMethod) == 1);
    CHECK_FALSE(callServer(server, "echo", Json::objectValue).isOk);
    CHECK(server.refusedCount(JsonRpcRefusal::InvalidParameters) == 1);

    for (const char* text : { "", "{", "nonsense", "{\"method\":\"echo\"" })
        server.handle(text);
    CHECK(server.refusedCount(JsonRpcRefusal::Malformed) == 4);
    for (const char* text : { "{}", "7", "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":5}" })
        server.handle(text);
    CHECK(server.refusedCount(JsonRpcRefusal::InvalidRequest) == 3);
    CHECK(server.handle("[]").status == 400);
    CHECK(server.refusedCount(JsonRpcRefusal::Batch) == 1);
}

TEST_CASE("Oversized and deeply nested requests are refused before the library parses them")
{
    JsonRpcServer server({});
    addMethods(server);
    const std::string deep(200'000, '[');
    CHECK(server.handle(deep).status == 413);
    CHECK(server.handle(std::string(65'537, ' ')).status == 413);
    CHECK(server.refusedCount(JsonRpcRefusal::TooLarge) == 2);
    CHECK(server.handle(deep.substr(0, 60'000)).status == 400);
    CHECK(server.handle(std::string(33, '[')).status == 400);
    CHECK(server.refusedCount(JsonRpcRefusal::TooDeep) == 2);

    // Without these limits the library's parser throws. The server must catch the exception.
    JsonRpcServerSettings highLimits;
    highLimits.maxRequestBytes = 1'000'000;
    highLimits.maxDepth = 1'000'000;
    JsonRpcServer highLimitsServer(highLimits);
    CHECK(highLimitsServer.handle("{\"a\":" + deep).status == 500);
    CHECK(highLimitsServer.refusedCount(JsonRpcRefusal::MethodFailed) == 1);
}

TEST_CASE("A reply that would make the library terminate the process fails the call instead")
{
    const std::string head = "{\"id\":1,\"jsonrpc\":\"2.0\",";
    for (const std::string& reply :
        { std::string(200'000, '['), head + "\"result\":" + std::string(5'000, '['), head + "\"error\":5}",
            head + "\"error\":{\"code\":\"x\",\"message\":\"y\"}}", head + "\"error\":{\"code\":1,\"message\":{}}}",
            head + "\"error\":{\"code\":99999999999,\"message\":\"\"}}", std::string("[]"), std::string("7"),
            std::string(), std::string("{}") }) {
        const JsonRpcClient client([&](const std::string&, std::string& response) {
            response = reply;
            return true;
        });
        CHECK_FALSE(client.call("echo", Json::objectValue).isOk);
    }
    const JsonRpcClient throwing([](const std::string&, std::string&) -> bool { throw std::runtime_error("broken"); });
    CHECK_FALSE(throwing.call("echo", Json::objectValue).isOk);
}

TEST_CASE("Over HTTP, only an authenticated request runs, a replayed one is refused, and the response is authenticated")
{
    const SystemClock clock;
    const auto createAuthenticator = [&](char keyByte) {
        RpcAuthenticatorSettings settings;
        settings.keys = { { 1, std::string(32, keyByte) } };
        return handleErrors([&] { return RpcAuthenticator::create(settings, VmId("a"), clock); },
            [](const Error&) -> std::unique_ptr<RpcAuthenticator> { return nullptr; });
    };
    const auto authenticator = createAuthenticator('a');
    const auto otherKeyAuthenticator = createAuthenticator('b');
    const Address address { "127.0.0.1", 39417 };
    JsonRpcServerSettings settings;
    settings.macHeader = RpcAuthenticator::headerName;
    settings.authenticate = [&](std::optional<std::string_view> mac, const std::string& body) {
        return handleErrors(
            [&]() -> Result<std::optional<uint64_t>> {
                BOOST_LEAF_AUTO(caller, authenticator->openRequest(mac, address.text(), body));
                return caller.nonce;
            },
            [](const Error&) { return std::optional<uint64_t>(); });
    };
    settings.sign = [&](uint64_t nonce, const std::string& body) { return authenticator->signResponse(nonce, body); };
    JsonRpcServer rpc(settings);
    addMethods(rpc);
    HttpServerSettings listener;
    listener.address = address.text();
    listener.handler = [&](HttpServerExchange& exchange) { rpc.serve(exchange); };
    const auto server = handleErrors([&] { return HttpServer::create(listener, clock); },
        [](const Error& error) -> std::unique_ptr<HttpServer> {
            FAIL(error.message);
            return nullptr;
        });

    HttpClient client(clock);
    HttpResponseHead head;
    const auto send = [&](const std::string& mac, const std::string& body, const std::string& method = "POST") {
        HttpRequest request;
        request.to = address;
        request.method = method;
        request.target = "/rpc";
        if (!mac.empty())
            request.headers = { { RpcAuthenticator::headerName, mac } };
        request.body = body;
        request.deadline = clock.now() + std::chrono::seconds(5);
        return handleErrors(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(response, client.fetch(std::move(request), 1'000'000));
                head = response.first;
                return response.second;
            },
            [](const Error& error) {
                FAIL(error.message);
                return std::string();
            });
    };
    std::string lastMac, lastRequest;
    const JsonRpcClient caller([&](const std::string& request, std::string& response) {
        const RpcSignature signature = authenticator->signRequest(address.text(), request);
        lastMac = signature.header;
        lastRequest = request;
        response = send(signature.header, request);
        return !errorOf(
            [&] { return authenticator->openResponse(head.header("Snipeweir-Mac"), signature.nonce, response); });
    });
    const JsonRpcReply reply = caller.call("echo", textParameter("ficha"));
    CHECK(reply.isOk);
    CHECK(reply.result["text"] == "ficha");

    send(lastMac, lastRequest);
    CHECK(head.status == 401);
    send(otherKeyAuthenticator->signRequest(address.text(), lastRequest).header, lastRequest);
    CHECK(head.status == 401);
    send("", lastRequest);
    CHECK(head.status == 401);
    CHECK(rpc.refusedCount(JsonRpcRefusal::Unauthenticated) == 3);
    CHECK(authenticator->refusedCount(RpcRefusal::Replayed) == 1);
    CHECK(authenticator->refusedCount(RpcRefusal::BadMac) == 1);
    CHECK(authenticator->refusedCount(RpcRefusal::Missing) == 1);
    send(lastMac, std::string(65'537, ' '));
    CHECK(head.status == 413);
    CHECK(rpc.refusedCount(JsonRpcRefusal::TooLarge) == 1);
    send(lastMac, "", "PUT");
    CHECK(head.status == 405);
    server->stop();
}
