// What callers and upstreams send: no bytes may do more than be refused, however they are cut into pieces.

#include "toucanstep/http1/Parser.h"

#include <algorithm>
#include <cstdint>

namespace {

using namespace toucanstep::http1;

class Sink final : public RequestListener, public ResponseListener {
public:
    void onRequestHead(RequestHead) override { }
    void onRequestBody(std::string_view) override { }
    void onResponseHead(ResponseHead) override { }
    void onResponseBody(std::string_view) override { }
};

// Feeds everything in pieces of that size, message after message.
template <typename Parser>
void feed(Parser& parser, std::string_view bytes, size_t piece)
{
    while (!bytes.empty()) {
        std::string_view next = bytes.substr(0, piece);
        ParseStep step = parser.parse(next);
        if (step.progress != ParseProgress::NeedsMore && step.progress != ParseProgress::Whole)
            return;
        bytes.remove_prefix(std::max<size_t>(std::min(step.taken, next.size()), 1));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    constexpr size_t headBytes = 1024;
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    for (size_t piece : { bytes.size() + 1, size_t(7) }) {
        Sink sink;
        RequestParser requests(&sink, headBytes);
        feed(requests, bytes, piece);
        ResponseParser responses(&sink);
        responses.expect(false);
        ParseStep step = responses.parse(bytes.substr(0, piece));
        if (step.progress == ParseProgress::NeedsMore)
            responses.parseEnd();
    }
    return 0;
}
