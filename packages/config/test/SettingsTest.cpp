#include "SettingsText.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Settings) {};

namespace {

const char* const gatewayText = R"({
  "role": "gateway",
  "instance": "gw-1",
  "failureDomain": "a",
  "peerListen": "127.0.0.1:7000",
  "operatorListen": "[::1]:0",
  "callerListen": "127.0.0.1:8080",
  "peers": ["127.0.0.1:7001"], // the other one
  "keyValueUrl": "http://127.0.0.1:2379",
  "instanceListUrl": "http://127.0.0.1:9000/lists",
  "listName": "gateways",
  "fleetSecretFile": "secret",
})";

class StoredSecret final : public internal::SecretSource {
public:
    std::optional<std::string> read(const std::string& path) override
    {
        lastPath = path;
        return secret;
    }

    std::optional<std::string> secret = "0123456789abcdef";
    std::string lastPath;
};

std::string changed(const std::string& part, const std::string& replacement)
{
    std::string text = gatewayText;
    size_t offset = text.find(part);
    CHECK_TRUE(offset != std::string::npos);
    return text.replace(offset, part.size(), replacement);
}

std::string findingsOf(const std::string& text)
{
    StoredSecret secrets;
    return internal::parseSettingsWith("s.json", text, secrets).findings.render();
}

} // namespace

TEST(Settings, CleanSettingsOfAGatewayAreRead)
{
    StoredSecret secrets;
    auto parsed = internal::parseSettingsWith("etc/s.json", gatewayText, secrets);
    STRCMP_EQUAL("", parsed.findings.render().c_str());
    STRCMP_EQUAL("[::1]:0", parsed.settings->operatorListen.text().c_str());
    CHECK_EQUAL(7001, parsed.settings->peers.at(0).port);
    STRCMP_EQUAL("0123456789abcdef", parsed.settings->fleetSecret.c_str());
    STRCMP_EQUAL("etc/secret", secrets.lastPath.c_str());
}

TEST(Settings, ASidecarNeedsItsPoolAndUpstream)
{
    STRCMP_EQUAL("s.json:1:1: error: pool: required field of a sidecar is missing (add \"pool\")\n"
                 "s.json:1:1: error: upstreamUrl: required field of a sidecar is missing (add \"upstreamUrl\")\n"
                 "s.json:7:19: error: callerListen: only gateways have this field (remove it)\n",
        findingsOf(changed("\"gateway\"", "\"sidecar\"")).c_str());
}

TEST(Settings, HostNamesAreRefusedBecauseAddressesAreIpNumbers)
{
    STRCMP_CONTAINS("s.json:5:17: error: peerListen: \"localhost:7000\" is no IP number and port", findingsOf(changed("127.0.0.1:7000", "localhost:7000")).c_str());
    STRCMP_CONTAINS("s.json:9:18: error: keyValueUrl: \"http://kv:2379\" is no http URL whose host is an IP number", findingsOf(changed("http://127.0.0.1:2379", "http://kv:2379")).c_str());
    STRCMP_CONTAINS("s.json:8:13: error: peers[0]: \"127.0.0.1:0\" is no IP number and port", findingsOf(changed("127.0.0.1:7001", "127.0.0.1:0")).c_str());
}

TEST(Settings, AShortOrUnreadableSecretIsReportedWithoutIt)
{
    StoredSecret secrets;
    secrets.secret = "hush";
    std::string findings = internal::parseSettingsWith("s.json", gatewayText, secrets).findings.render();
    STRCMP_EQUAL("s.json:12:22: error: fleetSecretFile: the secret must have 16 to 4096 bytes\n", findings.c_str());
    secrets.secret.reset();
    STRCMP_CONTAINS("cannot read \"secret\"", internal::parseSettingsWith("s.json", gatewayText, secrets).findings.render().c_str());
}
