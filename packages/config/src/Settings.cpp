#include "toucanstep/config/Settings.h"

#include "JsonReader.h"
#include "ObjectReader.h"
#include "SettingsText.h"
#include "toucanstep/base/Text.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <charconv>
#include <filesystem>
#include <fstream>

namespace toucanstep::config {

namespace {

constexpr size_t shortestSecret = 16;
constexpr size_t longestSecret = 4096;

bool isIpNumber(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed {};
    return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1 || inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

bool isIpUrl(std::string_view url)
{
    for (std::string_view scheme : { "http://", "https://" }) {
        if (!url.starts_with(scheme))
            continue;
        std::string_view rest = url.substr(scheme.size());
        std::string_view authority = rest.substr(0, rest.find('/'));
        auto endpoint = parseEndpoint(authority);
        return (endpoint && endpoint->port != 0) || isIpNumber(std::string(authority));
    }
    return false;
}

class FileSecretSource final : public internal::SecretSource {
public:
    std::optional<std::string> read(const std::string& path) override
    {
        // Reading a pipe or a device could wait for ever; only regular files are opened.
        std::error_code error;
        if (!std::filesystem::is_regular_file(path, error))
            return std::nullopt;
        std::ifstream stream(path, std::ios::binary);
        std::string content(longestSecret + 1, '\0');
        stream.read(content.data(), static_cast<std::streamsize>(content.size()));
        if (stream.bad())
            return std::nullopt;
        content.resize(static_cast<size_t>(stream.gcount()));
        absl::StripTrailingAsciiWhitespace(&content);
        return content;
    }
};

// Reads the fields of settings that have forms of their own.
class SettingsReader {
public:
    SettingsReader(const internal::ObjectReader& reader, internal::ReadContext& context)
        : m_reader(reader)
        , m_context(context)
    {
    }

    Endpoint endpoint(std::string_view field) const
    {
        std::string text = m_reader.text(field);
        if (text.empty())
            return {};
        if (auto parsed = parseEndpoint(text))
            return *parsed;
        m_reader.report(field, endpointMessage(text), std::string(endpointRule));
        return {};
    }

    std::vector<Endpoint> endpoints(std::string_view field) const
    {
        std::vector<Endpoint> endpoints;
        for (const internal::PlacedText& element : m_reader.texts(field)) {
            auto parsed = parseEndpoint(element.text);
            if (parsed && parsed->port != 0)
                endpoints.push_back(*parsed);
            else
                m_context.report(element.position, element.path, endpointMessage(element.text), std::string(endpointRule));
        }
        return endpoints;
    }

    std::string url(std::string_view field) const
    {
        std::string text = m_reader.text(field);
        if (!text.empty() && !isIpUrl(text))
            m_reader.report(field, base::concat("\"", text, "\" is no http URL whose host is an IP number"), "as in \"http://10.0.0.1:2379\"");
        return text;
    }

    std::string secret(std::string_view settingsFile, internal::SecretSource& source) const
    {
        std::string name = m_reader.text("fleetSecretFile");
        if (name.empty())
            return {};
        auto secret = source.read(internal::resolvePath(settingsFile, name));
        if (!secret)
            m_reader.report("fleetSecretFile", base::concat("cannot read \"", name, "\""), "a relative path starts at the settings file");
        else if (secret->size() < shortestSecret || secret->size() > longestSecret)
            m_reader.report("fleetSecretFile", base::concat("the secret must have ", shortestSecret, " to ", longestSecret, " bytes"));
        return secret.value_or(std::string());
    }

    // Reports fields that this role must have, and those that only the other role has.
    void checkRole(Role role) const
    {
        if (role == Role::Gateway) {
            require("callerListen", "gateway");
            forbid("pool", "sidecars");
            forbid("upstreamUrl", "sidecars");
            return;
        }
        require("pool", "sidecar");
        require("upstreamUrl", "sidecar");
        forbid("callerListen", "gateways");
    }

private:
    static constexpr std::string_view endpointRule = "an IP number and a port, as in \"10.0.0.1:7000\"";

    static std::string endpointMessage(std::string_view text) { return base::concat("\"", text, "\" is no IP number and port"); }

    void require(std::string_view field, std::string_view role) const
    {
        if (!m_reader.has(field))
            m_reader.report(field, base::concat("required field of a ", role, " is missing"), base::concat("add \"", field, "\""));
    }

    void forbid(std::string_view field, std::string_view roles) const
    {
        if (m_reader.has(field))
            m_reader.report(field, base::concat("only ", roles, " have this field"), "remove it");
    }

    const internal::ObjectReader& m_reader;
    internal::ReadContext& m_context;
};

ProcessSettings readSettings(std::string_view file, const internal::ObjectReader& reader, const SettingsReader& special, internal::SecretSource& secrets)
{
    ProcessSettings settings;
    settings.role = reader.choice("role") == 0 ? Role::Gateway : Role::Sidecar;
    settings.instance = base::InstanceId(reader.text("instance"));
    settings.failureDomain = base::FailureDomain(reader.text("failureDomain"));
    settings.peerListen = special.endpoint("peerListen");
    settings.operatorListen = special.endpoint("operatorListen");
    settings.callerListen = special.endpoint("callerListen");
    settings.peers = special.endpoints("peers");
    settings.keyValueUrl = special.url("keyValueUrl");
    settings.instanceListUrl = special.url("instanceListUrl");
    settings.weightStoreUrl = special.url("weightStoreUrl");
    settings.listName = reader.text("listName");
    settings.fleetSecret = special.secret(file, secrets);
    settings.pool = base::PoolId(reader.text("pool"));
    settings.upstreamUrl = special.url("upstreamUrl");
    settings.historyFile = reader.text("historyFile");
    return settings;
}

} // namespace

std::string internal::resolvePath(std::string_view settingsFile, const std::string& path)
{
    return (std::filesystem::path(settingsFile).parent_path() / path).string();
}

ParsedSettings internal::parseSettingsWith(std::string_view file, std::string_view text, SecretSource& secrets)
{
    ParsedSettings parsed;
    auto root = readJson(file, text, parsed.findings);
    if (!root)
        return parsed;
    ReadContext context { std::string(file), parsed.findings };
    ObjectReader reader(settingsSchema(), *root, "", context);
    SettingsReader special(reader, context);
    ProcessSettings settings = readSettings(file, reader, special, secrets);
    if (reader.has("role"))
        special.checkRole(settings.role);
    if (!parsed.findings.hasErrors())
        parsed.settings = std::move(settings);
    return parsed;
}

ParsedSettings parseSettings(std::string_view file, std::string_view text)
{
    FileSecretSource secrets;
    return internal::parseSettingsWith(file, text, secrets);
}

} // namespace toucanstep::config
