#include "toucanstep/formats/Base64.h"

#include <openssl/evp.h>

namespace toucanstep::formats {

std::string encodeBase64(std::string_view bytes)
{
    // OpenSSL ends its output with a zero byte, which is cut off again.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(size));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    // OpenSSL skips blanks and accepts padding anywhere; neither is Base64 as published.
    if (text.size() % 4 != 0 || text.substr(0, text.size() - padding).find_first_not_of(alphabet) != std::string_view::npos)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()),
        static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    bytes.resize(static_cast<size_t>(size) - padding);
    return bytes;
}

} // namespace toucanstep::formats
