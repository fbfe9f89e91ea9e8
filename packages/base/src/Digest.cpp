#include "toucanstep/base/Digest.h"

#include <absl/strings/escaping.h>
#include <array>
#include <glog/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace toucanstep::base {

namespace {

using DigestBytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

std::string toHex(const unsigned char* bytes, size_t length)
{
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(bytes), length));
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    DigestBytes digest {};
    unsigned length = 0;
    int done = EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    CHECK_EQ(done, 1) << "SHA-256 is not available";
    return toHex(digest.data(), length);
}

std::string hmacSha256Hex(std::string_view key, std::string_view message)
{
    DigestBytes digest {};
    unsigned length = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(message.data());
    const unsigned char* done = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, message.size(), digest.data(), &length);
    CHECK(done) << "HMAC-SHA-256 is not available";
    return toHex(digest.data(), length);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && !CRYPTO_memcmp(left.data(), right.data(), left.size());
}

std::string randomHex(size_t bytes)
{
    std::string random(bytes, '\0');
    int done = RAND_bytes(reinterpret_cast<unsigned char*>(random.data()), static_cast<int>(bytes));
    CHECK_EQ(done, 1) << "no random bytes from the operating system";
    return absl::BytesToHexString(random);
}

} // namespace toucanstep::base
