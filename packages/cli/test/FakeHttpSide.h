// A small HTTP server that stands for a gateway or for an operators' port.

#pragma once

#include "toucanstep/formats/HttpServer.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <string>

namespace toucanstep::cli::test {

class FakeHttpSide {
public:
    explicit FakeHttpSide(formats::HttpServer::Handler handler)
    {
        base::Error error;
        auto server = base::valueOr(error, [&] { return formats::HttpServer::start({}, std::move(handler)); });
        CHECK_TRUE_TEXT(server.has_value(), error.message.c_str());
        m_server = std::move(*server);
    }
    // Answers every request with this document.
    explicit FakeHttpSide(const std::string& document)
        : FakeHttpSide([document](const std::shared_ptr<formats::HttpExchange>& exchange) { exchange->respond(200, {}, document); })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }

private:
    std::unique_ptr<formats::HttpServer> m_server;
};

} // namespace toucanstep::cli::test
