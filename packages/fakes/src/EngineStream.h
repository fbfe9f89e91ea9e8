// One answer that an engine generates, in the OpenAI shapes, streamed or whole.

#pragma once

#include "toucanstep/formats/HttpServer.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace toucanstep::fakes::internal {

class EngineStream {
public:
    // Throws a JSON exception where the body does not have the published form.
    EngineStream(std::shared_ptr<formats::HttpExchange>, int64_t defaultTokens, bool honoursResume);

    const std::string& model() const { return m_model; }
    const std::string& prompt() const { return m_prompt; }
    int64_t priority() const { return m_priority; }
    int64_t promptTokens() const { return m_promptTokens; }
    int64_t tokensHeld() const { return m_promptTokens + m_nextToken; }
    formats::HttpExchange& exchange() const { return *m_exchange; }

    // Prompt tokens that are still to be read before the first token comes.
    int64_t promptLeft = 0;
    bool silenced = false;
    bool begun = false;

    // Generates one token. Returns true once the answer has ended.
    bool advance();

private:
    void writeEvent(const nlohmann::json&);
    nlohmann::json envelope(const char* object) const;
    nlohmann::json chunk(const std::string& text, bool last) const;
    nlohmann::json usage() const;
    void finish();

    std::shared_ptr<formats::HttpExchange> m_exchange;
    std::string m_id;
    std::string m_model;
    std::string m_prompt;
    bool m_chat = false;
    bool m_streaming = false;
    bool m_includeUsage = false;
    int64_t m_priority = 0;
    int64_t m_promptTokens = 0;
    int64_t m_firstToken = 0;
    int64_t m_nextToken = 0;
    int64_t m_tokens = 0;
};

} // namespace toucanstep::fakes::internal
