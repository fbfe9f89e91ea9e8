// Sends planned requests at their times, whatever became of the earlier ones, and notes what each caller got.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/formats/HttpClient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace toucanstep::bench {

struct PlannedRequest {
    // Since the beginning of the plan.
    base::Duration at = base::Duration::zero();
    // Which of the gateways in service, by number.
    size_t gateway = 0;
    base::ClientAccountId account;
    std::string key;
    // Empty for a call of `service`.
    std::string model;
    std::string service;
    std::string prompt;
    int64_t tokens = 16;
    bool stream = true;
    std::string idempotencyKey;
    base::Duration timeout = std::chrono::seconds(15);
};

struct Outcome {
    PlannedRequest planned;
    base::Instant intendedAt;
    // By which the gateways' histories know it; empty where no answer told.
    base::RequestId request;
    int status = 0;
    // Of a refusal.
    std::string code;
    // What a refusal says of whether the request ran.
    std::string ran;
    base::Instant firstByteAt;
    base::Instant endedAt;
    // Answered with the end mark.
    bool whole = false;
    // Began, and broke off without the end mark or with an error in the stream.
    bool cut = false;
    // Whole, but not the answer to this request.
    bool wrong = false;
    // How often no gateway took the connection before one did.
    int connectionRetries = 0;
    std::string error;
};

class Callers {
public:
    using Ports = std::function<std::vector<uint16_t>()>;

    // `ports` gives the caller ports of the gateways that are in service, as a balancer would know them.
    explicit Callers(Ports ports);

    // Sends everything and waits until all have ended. The order of the outcomes is that of the plan.
    std::vector<Outcome> run(std::vector<PlannedRequest> plan, base::Instant begin);

private:
    class Call;

    Ports m_ports;
    formats::HttpClient m_client;
};

// Joins the texts of a stream's events, or of a whole answer, in the OpenAI shapes. `whole` tells whether the end mark came.
std::string answerOf(const std::string& body, bool stream, bool& whole);

} // namespace toucanstep::bench
