#include "toucanstep/fakes/FakeInstanceList.h"

#include "RestartableServer.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace toucanstep::fakes {

using namespace base;
using Json = nlohmann::json;

namespace {

constexpr std::string_view listPath = "/apis/discovery.k8s.io/v1/endpointslices";
constexpr std::string_view selector = "labelSelector=kubernetes.io/service-name%3D";

using Instances = std::map<InstanceId, FakeInstance>;

struct State {
    uint64_t version = 0;
    Instant since;
    std::map<std::string, Instances> lists;
};

// One slice for each endpoint, because a slice has one set of ports.
Json sliceOf(const std::string& listName, const FakeInstance& instance)
{
    Json endpoint = {
        { "addresses", { instance.endpoint.address } },
        { "conditions", { { "ready", instance.ready }, { "serving", instance.ready || instance.terminating }, { "terminating", instance.terminating } } },
        { "zone", instance.failureDomain.value() },
        { "targetRef", { { "kind", "Pod" }, { "name", instance.instance.value() } } },
    };
    return {
        { "metadata", { { "name", concat(listName, "-", instance.instance) }, { "labels", { { "kubernetes.io/service-name", listName } } } } },
        { "addressType", "IPv4" },
        { "ports", { { { "port", instance.endpoint.port } } } },
        { "endpoints", { std::move(endpoint) } },
    };
}

Json listOf(const State& state, const std::string& listName)
{
    Json items = Json::array();
    auto found = state.lists.find(listName);
    if (found != state.lists.end()) {
        for (const auto& [id, instance] : found->second)
            items.push_back(sliceOf(listName, instance));
    }
    return { { "kind", "EndpointSliceList" }, { "apiVersion", "discovery.k8s.io/v1" }, { "metadata", { { "resourceVersion", concat(state.version) } } }, { "items", std::move(items) } };
}

} // namespace

class FakeInstanceList::Implementation {
public:
    explicit Implementation(const FakeInstanceListOptions& options)
        : m_lag(options.lag)
        , m_server([this](const std::shared_ptr<formats::HttpExchange>& exchange) { answer(*exchange); })
    {
    }

    ~Implementation() { m_server.stop(); }

    std::string url() const { return m_server.url(); }
    void setDown(bool down) { m_server.setDown(down); }

    template <typename Change>
    void change(Change&& change)
    {
        std::lock_guard lock(m_mutex);
        State next = m_states.back();
        ++next.version;
        next.since = std::chrono::steady_clock::now();
        change(next.lists);
        m_states.push_back(std::move(next));
    }

    void setLag(Duration lag)
    {
        std::lock_guard lock(m_mutex);
        m_lag = lag;
    }

    void goBack(uint64_t versions, int answers)
    {
        std::lock_guard lock(m_mutex);
        m_versionsBack = versions;
        m_answersBack = answers;
    }

    int64_t reads() const
    {
        std::lock_guard lock(m_mutex);
        return m_reads;
    }

private:
    void answer(formats::HttpExchange& exchange)
    {
        const auto& request = exchange.request();
        if (request.path != listPath || request.query.rfind(selector, 0) != 0) {
            exchange.respond(404, {}, "");
            return;
        }
        std::string body;
        {
            std::lock_guard lock(m_mutex);
            ++m_reads;
            body = listOf(shownState(), request.query.substr(selector.size())).dump();
        }
        exchange.respond(200, { { "Content-Type", "application/json" } }, std::move(body));
    }

    const State& shownState()
    {
        Instant asOf = std::chrono::steady_clock::now() - m_lag;
        size_t shown = m_states.size() - 1;
        while (shown > 0 && m_states[shown].since > asOf)
            --shown;
        if (m_answersBack > 0) {
            --m_answersBack;
            shown -= std::min<size_t>(shown, m_versionsBack);
        }
        return m_states[shown];
    }

    mutable std::mutex m_mutex;
    std::vector<State> m_states { State {} };
    Duration m_lag;
    uint64_t m_versionsBack = 0;
    int m_answersBack = 0;
    int64_t m_reads = 0;
    internal::RestartableServer m_server;
};

FakeInstanceList::FakeInstanceList(const FakeInstanceListOptions& options)
    : m_implementation(std::make_unique<Implementation>(options))
{
}

FakeInstanceList::~FakeInstanceList() = default;

std::string FakeInstanceList::url() const { return m_implementation->url(); }

void FakeInstanceList::put(const std::string& listName, const FakeInstance& instance)
{
    m_implementation->change([&](auto& lists) { lists[listName][instance.instance] = instance; });
}

void FakeInstanceList::remove(const std::string& listName, const InstanceId& instance)
{
    m_implementation->change([&](auto& lists) { lists[listName].erase(instance); });
}

void FakeInstanceList::setLag(Duration lag) { m_implementation->setLag(lag); }

void FakeInstanceList::goBack(uint64_t versions, int answers) { m_implementation->goBack(versions, answers); }

void FakeInstanceList::setDown(bool down) { m_implementation->setDown(down); }

int64_t FakeInstanceList::reads() const { return m_implementation->reads(); }

} // namespace toucanstep::fakes
