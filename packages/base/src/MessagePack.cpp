#include "toucanstep/base/MessagePack.h"

#include <nlohmann/json.hpp>

namespace toucanstep::base {

namespace {

// Stops the parser where values nest too deeply; keeps nothing.
class DepthGuard final : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit DepthGuard(int depth)
        : m_left(depth)
    {
    }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(size_t) override { return enter(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

private:
    bool enter() { return --m_left >= 0; }
    bool leave()
    {
        ++m_left;
        return true;
    }

    int m_left;
};

}

nlohmann::json parseMessagePack(std::string_view bytes, int depth)
{
    DepthGuard guard(depth);
    if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &guard, nlohmann::json::input_format_t::msgpack))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
}

} // namespace toucanstep::base
