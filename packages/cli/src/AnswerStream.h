// Reads a gateway's streamed answer: prints its text as it comes, and keeps how it ended.

#pragma once

#include "toucanstep/formats/HttpClient.h"

#include <future>
#include <optional>
#include <ostream>
#include <string>

namespace toucanstep::cli::internal {

// What a refusal says of itself. Fields that it lacks are empty.
struct RefusalText {
    std::string code;
    std::string ran;
    std::string message;
    std::optional<int64_t> retryAfterMilliseconds;
};

struct AnswerEnding {
    std::optional<base::Error> error;
    int status = 0;
    // The mark that ends a whole answer arrived.
    bool whole = false;
    std::optional<RefusalText> refusal;
};

// Writes from the client's thread; whoever waits for ending() may use the stream after it only.
class AnswerStream final : public formats::HttpListener {
public:
    explicit AnswerStream(std::ostream& output)
        : m_output(output)
    {
    }

    void onStatus(int status, const formats::HttpHeaders&) override { m_ending.status = status; }
    void onData(std::string_view) override;
    void onEnd(std::optional<base::Error>) override;

    std::future<AnswerEnding> ending() { return m_promise.get_future(); }

private:
    void onLine(std::string_view);
    void onEvent(std::string_view);

    std::ostream& m_output;
    // The part of a line, or of a refusal's body, that has arrived.
    std::string m_pending;
    AnswerEnding m_ending;
    std::promise<AnswerEnding> m_promise;
};

} // namespace toucanstep::cli::internal
