#include "JsonAccess.h"

#include <charconv>

namespace toucanstep::formats::internal {

std::optional<Json> parseJson(std::string_view text)
{
    Json json = Json::parse(text.begin(), text.end(), nullptr, false);
    if (json.is_discarded())
        return std::nullopt;
    return json;
}

const Json& member(const Json& json, const char* name)
{
    static const Json nothing;
    if (!json.is_object())
        return nothing;
    auto found = json.find(name);
    return found == json.end() ? nothing : *found;
}

std::string textMember(const Json& json, const char* name)
{
    const Json& value = member(json, name);
    return value.is_string() ? value.get<std::string>() : std::string();
}

bool flagMember(const Json& json, const char* name)
{
    const Json& value = member(json, name);
    return value.is_boolean() && value.get<bool>();
}

int64_t numberMember(const Json& json, const char* name)
{
    const Json& value = member(json, name);
    if (value.is_number_integer())
        return value.get<int64_t>();
    if (!value.is_string())
        return 0;
    const auto& text = value.get_ref<const std::string&>();
    int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace toucanstep::formats::internal
