#include "toucanstep/formats/InstanceList.h"

#include "JsonAccess.h"
#include "toucanstep/base/Text.h"

#include <charconv>

namespace toucanstep::formats {

namespace {

using namespace base;
using internal::flagMember;
using internal::Json;
using internal::member;
using internal::numberMember;
using internal::parseJson;
using internal::textMember;

constexpr int64_t largestPort = 65535;

Error malformed(std::string_view what) { return { ErrorKind::Malformed, concat("the list of instances: ", what) }; }

// Kubernetes counts an endpoint whose readiness is not told as ready.
bool isReady(const Json& conditions)
{
    return !member(conditions, "ready").is_boolean() || flagMember(conditions, "ready");
}

std::optional<ListedInstance> instanceFromJson(const Json& json, int64_t port)
{
    const Json& addresses = member(json, "addresses");
    std::string name = textMember(member(json, "targetRef"), "name");
    if (name.empty() || !addresses.is_array() || addresses.empty() || !addresses.front().is_string())
        return std::nullopt;
    const Json& conditions = member(json, "conditions");
    return ListedInstance {
        .instance = InstanceId(std::move(name)),
        .endpoint = { .address = addresses.front().get<std::string>(), .port = static_cast<uint16_t>(port) },
        .failureDomain = FailureDomain(textMember(json, "zone")),
        .ready = isReady(conditions),
        .terminating = flagMember(conditions, "terminating"),
    };
}

// Adds the endpoints of one slice. Returns false where one of them cannot be read.
bool addSlice(const Json& slice, std::vector<ListedInstance>& instances)
{
    const Json& endpoints = member(slice, "endpoints");
    if (endpoints.is_null() || (endpoints.is_array() && endpoints.empty()))
        return true;
    const Json& ports = member(slice, "ports");
    int64_t port = ports.is_array() && !ports.empty() ? numberMember(ports.front(), "port") : 0;
    if (!endpoints.is_array() || port <= 0 || port > largestPort)
        return false;
    for (const auto& json : endpoints) {
        auto instance = instanceFromJson(json, port);
        if (!instance)
            return false;
        instances.push_back(std::move(*instance));
    }
    return true;
}

std::optional<uint64_t> versionFromJson(const Json& metadata)
{
    std::string text = textMember(metadata, "resourceVersion");
    uint64_t version = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return version;
}

// An instance that was left out would look like one that has gone, so an answer that is not understood in full is an error.
Outcome<InstanceListing> listingFromText(std::string_view text)
{
    auto json = parseJson(text);
    if (!json || textMember(*json, "kind") != "EndpointSliceList")
        return malformed("not an EndpointSliceList");
    const Json& metadata = member(*json, "metadata");
    if (!textMember(metadata, "continue").empty())
        return malformed("the answer is one page of several");
    const Json& items = member(*json, "items");
    if (!items.is_array() && !items.is_null())
        return malformed("items is not a list");
    InstanceListing listing { .version = versionFromJson(metadata) };
    for (const auto& slice : items) {
        if (!addSlice(slice, listing.instances))
            return malformed("an endpoint lacks its name, address or port");
    }
    return listing;
}

Outcome<InstanceListing> listingFromReply(const HttpReply& reply)
{
    if (reply.error)
        return *reply.error;
    if (!reply.ok())
        return Error { ErrorKind::Rejected, concat("the list of instances answered ", reply.status) };
    return listingFromText(reply.body);
}

class EndpointSliceList final : public InstanceList {
public:
    EndpointSliceList(std::string url, std::shared_ptr<HttpClient> client)
        : m_url(std::move(url))
        , m_client(std::move(client))
    {
    }

    void read(std::string listName, Instant deadline, std::function<void(Outcome<InstanceListing>)> callback) override
    {
        std::string url = concat(m_url, "/apis/discovery.k8s.io/v1/endpointslices?labelSelector=kubernetes.io/service-name%3D", listName);
        auto onReply = [callback = std::move(callback)](const HttpReply& reply) { callback(listingFromReply(reply)); };
        m_client->fetchAsync({ .url = std::move(url), .deadline = deadline }, std::move(onReply));
    }

private:
    const std::string m_url;
    const std::shared_ptr<HttpClient> m_client;
};

} // namespace

std::unique_ptr<InstanceList> makeInstanceList(std::string url, std::shared_ptr<HttpClient> client)
{
    return std::make_unique<EndpointSliceList>(std::move(url), std::move(client));
}

} // namespace toucanstep::formats
