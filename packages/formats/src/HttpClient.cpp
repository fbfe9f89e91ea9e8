#include "toucanstep/formats/HttpClient.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/http1/Message.h"
#include "toucanstep/http1/ResponseSyntax.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <curl/curl.h>
#include <glog/logging.h>
#include <map>
#include <mutex>
#include <strings.h>
#include <thread>
#include <vector>

namespace toucanstep::formats {

namespace {

constexpr long keptConnections = 512;
constexpr int longestPollMilliseconds = 1000;
constexpr int silenceCheckMilliseconds = 20;
// A whole answer above this is given up, so that a broken server cannot fill the memory.
constexpr size_t maximumReplyBytes = 64 * 1024 * 1024;

base::Instant now() { return std::chrono::steady_clock::now(); }

base::Error error(base::ErrorKind kind, std::string message) { return { kind, std::move(message) }; }

// libcurl must be set up once before its first use, and by one thread.
void setUpCurl()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    CHECK_EQ(result, CURLE_OK);
}

bool isOwnedByClient(const std::string& name)
{
    return strcasecmp(name.c_str(), "Content-Length") == 0 || strcasecmp(name.c_str(), "Transfer-Encoding") == 0
        || strcasecmp(name.c_str(), "Connection") == 0 || strcasecmp(name.c_str(), "Expect") == 0;
}

// A line break inside a header would let its value add headers, or a second request, of its own.
bool isPlainLine(const std::string& text) { return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos; }

bool headersAreSound(const HttpCall& call)
{
    auto sound = [](const HttpHeader& header) { return isPlainLine(header.name) && isPlainLine(header.value); };
    return isPlainLine(call.method) && isPlainLine(call.url) && std::all_of(call.headers.begin(), call.headers.end(), sound);
}

// One call while it runs. Only the client's thread touches it.
class Transfer {
public:
    Transfer(uint64_t number, HttpCall call, std::shared_ptr<HttpListener> listener)
        : m_number(number)
        , m_call(std::move(call))
        , m_listener(std::move(listener))
    {
    }

    ~Transfer()
    {
        if (m_easy)
            curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headerList);
    }

    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    uint64_t number() const { return m_number; }
    CURL* easy() const { return m_easy; }
    bool hasSilenceLimit() const { return m_call.silenceLimit > base::Duration::zero(); }
    bool silentTooLong(base::Instant time) const { return hasSilenceLimit() && time >= m_lastByte + m_call.silenceLimit; }

    // Prepares the call, or says why it cannot be made.
    std::optional<base::Error> prepare()
    {
        if (!headersAreSound(m_call))
            return error(base::ErrorKind::Malformed, "a header, the method or the address holds a line break");
        auto left = base::toMilliseconds(base::remaining(now(), m_call.deadline));
        if (left <= 0)
            return error(base::ErrorKind::Unavailable, "the deadline had passed before the call was made");
        m_easy = curl_easy_init();
        if (!m_easy)
            return error(base::ErrorKind::Unavailable, "no memory for the call");
        m_lastByte = now();
        setConnection(left);
        setRequest();
        setHeaders();
        setCallbacks();
        return std::nullopt;
    }

    void end(CURLcode result)
    {
        if (result == CURLE_OK && now() >= m_call.deadline)
            fail(error(base::ErrorKind::Timeout, "the answer came after the deadline"));
        else if (result == CURLE_OK)
            m_listener->onEnd(std::nullopt);
        else
            fail(classify(result));
    }

    void giveUp(const std::string& reason) { fail(error(kindOfCutCall(), reason)); }

    void fail(base::Error reason) { m_listener->onEnd(std::move(reason)); }

private:
    template <typename Value>
    void set(CURLoption option, Value value)
    {
        curl_easy_setopt(m_easy, option, value);
    }

    void setConnection(int64_t millisecondsLeft)
    {
        set(CURLOPT_URL, m_call.url.c_str());
        set(CURLOPT_PROTOCOLS_STR, "http");
        // Proxy variables of the environment must not send the fleet's traffic elsewhere.
        set(CURLOPT_PROXY, "");
        set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        set(CURLOPT_NOSIGNAL, 1L);
        set(CURLOPT_PATH_AS_IS, 1L);
        set(CURLOPT_TIMEOUT_MS, static_cast<long>(millisecondsLeft));
        set(CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(millisecondsLeft));
        if (m_call.freshConnection) {
            set(CURLOPT_FRESH_CONNECT, 1L);
            set(CURLOPT_FORBID_REUSE, 1L);
        }
    }

    void setRequest()
    {
        bool hasBody = !m_call.body.empty() || (m_call.method != "GET" && m_call.method != "HEAD");
        if (hasBody) {
            set(CURLOPT_POST, 1L);
            set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_call.body.size()));
            set(CURLOPT_POSTFIELDS, m_call.body.data());
            set(CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
        } else if (m_call.method == "HEAD")
            set(CURLOPT_NOBODY, 1L);
    }

    void addHeader(const std::string& line)
    {
        if (auto* longer = curl_slist_append(m_headerList, line.c_str()))
            m_headerList = longer;
    }

    void setHeaders()
    {
        for (const auto& header : m_call.headers) {
            if (isOwnedByClient(header.name))
                continue;
            // libcurl takes "Name:" as an order to leave the header out; "Name;" is its way to write an empty one.
            addHeader(header.value.empty() ? header.name + ";" : base::concat(header.name, ": ", header.value));
        }
        addHeader("Expect:");
        if (findHeader(m_call.headers, "Content-Type").empty())
            addHeader("Content-Type:");
        set(CURLOPT_HTTPHEADER, m_headerList);
    }

    void setCallbacks()
    {
        set(CURLOPT_PRIVATE, this);
        set(CURLOPT_HEADERFUNCTION, &Transfer::onHeaderLine);
        set(CURLOPT_HEADERDATA, this);
        set(CURLOPT_WRITEFUNCTION, &Transfer::onBody);
        set(CURLOPT_WRITEDATA, this);
        set(CURLOPT_PREREQFUNCTION, &Transfer::onConnected);
        set(CURLOPT_PREREQDATA, this);
    }

    // Called each time a connection stands and just before the request is written to it. libcurl writes a request again on
    // a new connection when a kept one broke without an answer; the server may have carried it out already, so that only
    // happens where carrying it out twice does no harm.
    static int onConnected(void* context, char*, char*, int, int)
    {
        auto* self = static_cast<Transfer*>(context);
        bool first = !self->m_connectionMade;
        self->m_connectionMade = true;
        bool harmless = self->m_call.method == "GET" || self->m_call.method == "HEAD";
        return first || harmless ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }

    static size_t onHeaderLine(char* data, size_t, size_t size, void* context)
    {
        // Another size than that of the line ends the transfer.
        return static_cast<Transfer*>(context)->takeHeaderLine(std::string_view(data, size)) ? size : 0;
    }

    static size_t onBody(char* data, size_t, size_t size, void* context)
    {
        auto* self = static_cast<Transfer*>(context);
        self->m_lastByte = now();
        self->m_listener->onData(std::string_view(data, size));
        return size;
    }

    // libcurl accepts invalid statuses and field names, so both are checked here. Returns false for a line that makes the answer malformed.
    bool takeHeaderLine(std::string_view line)
    {
        m_lastByte = now();
        // What comes after the body are trailers, which nothing here uses.
        if (m_statusTold)
            return true;
        if (line.ends_with('\n'))
            line.remove_suffix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with("HTTP/"))
            takeStatusLine(line);
        else if (line.empty())
            tellStatus();
        else if (line.front() == ' ' || line.front() == '\t')
            takeFold(line);
        else
            takeField(line);
        return m_fault.empty();
    }

    void takeStatusLine(std::string_view line)
    {
        m_headers.clear();
        m_fault = http1::faultOfStatusLine(line);
        constexpr size_t statusBegin = std::string_view("HTTP/1.1 ").size();
        if (m_fault.empty())
            std::from_chars(line.data() + statusBegin, line.data() + line.size(), m_status);
    }

    void tellStatus()
    {
        // Interim answers such as 100 are followed by the real one.
        if (m_status < 200)
            return;
        m_statusTold = true;
        m_listener->onStatus(m_status, m_headers);
    }

    void takeField(std::string_view line)
    {
        m_fault = http1::faultOfField(line);
        if (!m_fault.empty())
            return;
        auto colon = line.find(':');
        if (http1::equalsIgnoringCase(line.substr(0, colon), "content-length") && !findHeader(m_headers, "Content-Length").empty()) {
            m_fault = "more than one Content-Length";
            return;
        }
        m_headers.push_back({ std::string(line.substr(0, colon)), std::string(http1::trimmed(line.substr(colon + 1))) });
    }

    // Continues the value of the field before.
    void takeFold(std::string_view line)
    {
        if (m_headers.empty())
            m_fault = "a blank in front of the first field";
        else if (!http1::isText(line))
            m_fault = "a fold holds a control character";
        else
            m_headers.back().value += base::concat(" ", http1::trimmed(line));
    }

    base::ErrorKind kindOfCutCall() const
    {
        return m_connectionMade ? base::ErrorKind::Timeout : base::ErrorKind::Unavailable;
    }

    base::Error classify(CURLcode result) const
    {
        if (!m_fault.empty())
            return error(base::ErrorKind::Malformed, base::concat(m_call.method, " ", m_call.url, ": ", m_fault));
        std::string message = base::concat(m_call.method, " ", m_call.url, ": ", curl_easy_strerror(result));
        bool unreadable = result == CURLE_URL_MALFORMAT || result == CURLE_WEIRD_SERVER_REPLY || result == CURLE_UNSUPPORTED_PROTOCOL
            || result == CURLE_BAD_CONTENT_ENCODING;
        if (unreadable)
            return error(base::ErrorKind::Malformed, std::move(message));
        return error(kindOfCutCall(), std::move(message));
    }

    const uint64_t m_number;
    HttpCall m_call;
    std::shared_ptr<HttpListener> m_listener;
    CURL* m_easy = nullptr;
    curl_slist* m_headerList = nullptr;
    bool m_connectionMade = false;
    bool m_statusTold = false;
    int m_status = 0;
    HttpHeaders m_headers;
    // What is wrong with the head of the answer.
    std::string_view m_fault;
    base::Instant m_lastByte;
};

// Collects one whole answer.
class Collector final : public HttpListener {
public:
    explicit Collector(std::function<void(HttpReply)> callback)
        : m_callback(std::move(callback))
    {
    }

    void onStatus(int status, const HttpHeaders& headers) override
    {
        m_reply.status = status;
        m_reply.headers = headers;
    }

    void onData(std::string_view data) override
    {
        if (m_reply.body.size() + data.size() > maximumReplyBytes)
            m_tooLarge = true;
        else
            m_reply.body.append(data);
    }

    void onEnd(std::optional<base::Error> outcome) override
    {
        m_reply.error = std::move(outcome);
        if (!m_reply.error && m_tooLarge)
            m_reply.error = error(base::ErrorKind::Malformed, "the answer is larger than any that is expected");
        m_callback(std::move(m_reply));
    }

private:
    std::function<void(HttpReply)> m_callback;
    HttpReply m_reply;
    bool m_tooLarge = false;
};

} // namespace

class HttpClient::Implementation {
public:
    Implementation()
    {
        setUpCurl();
        m_multi = curl_multi_init();
        CHECK(m_multi);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, keptConnections);
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    }

    ~Implementation() { curl_multi_cleanup(m_multi); }

    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    static void launch(const std::shared_ptr<Implementation>& self)
    {
        self->m_thread = std::thread([self] { self->run(); });
    }

    static void stop(const std::shared_ptr<Implementation>& self)
    {
        {
            std::lock_guard lock(self->m_mutex);
            self->m_stopping = true;
        }
        curl_multi_wakeup(self->m_multi);
        // The client may be destroyed by one of its own callbacks; the thread then ends by itself.
        if (self->m_thread.get_id() == std::this_thread::get_id())
            self->m_thread.detach();
        else
            self->m_thread.join();
    }

    uint64_t add(HttpCall call, std::shared_ptr<HttpListener> listener)
    {
        uint64_t number = 0;
        {
            std::lock_guard lock(m_mutex);
            number = m_nextNumber++;
            m_added.push_back(std::make_unique<Transfer>(number, std::move(call), std::move(listener)));
        }
        curl_multi_wakeup(m_multi);
        return number;
    }

    void cancel(uint64_t number)
    {
        {
            std::lock_guard lock(m_mutex);
            m_cancelled.push_back(number);
        }
        curl_multi_wakeup(m_multi);
    }

private:
    using Transfers = std::map<uint64_t, std::unique_ptr<Transfer>>;

    void run()
    {
        while (takeOrders()) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            takeResults();
            endSilentTransfers();
            curl_multi_poll(m_multi, nullptr, 0, m_silenceLimits > 0 ? silenceCheckMilliseconds : longestPollMilliseconds, nullptr);
        }
        while (!m_transfers.empty())
            giveUp(m_transfers.begin(), "the client was stopped");
        // Orders that came after the last look are answered as well: onEnd is owed for every call.
        std::lock_guard lock(m_mutex);
        for (auto& transfer : m_added)
            transfer->giveUp("the client was stopped");
        m_added.clear();
    }

    bool takeOrders()
    {
        std::vector<std::unique_ptr<Transfer>> added;
        std::vector<uint64_t> cancelled;
        bool stopping = false;
        {
            std::lock_guard lock(m_mutex);
            added.swap(m_added);
            cancelled.swap(m_cancelled);
            stopping = m_stopping;
        }
        for (auto& transfer : added)
            begin(std::move(transfer));
        for (uint64_t number : cancelled) {
            auto found = m_transfers.find(number);
            if (found != m_transfers.end())
                giveUp(found, "the call was cancelled");
        }
        return !stopping;
    }

    void begin(std::unique_ptr<Transfer> transfer)
    {
        if (auto reason = transfer->prepare()) {
            transfer->fail(std::move(*reason));
            return;
        }
        curl_multi_add_handle(m_multi, transfer->easy());
        m_silenceLimits += transfer->hasSilenceLimit() ? 1 : 0;
        m_transfers.emplace(transfer->number(), std::move(transfer));
    }

    std::unique_ptr<Transfer> remove(Transfers::iterator position)
    {
        auto transfer = std::move(position->second);
        m_transfers.erase(position);
        m_silenceLimits -= transfer->hasSilenceLimit() ? 1 : 0;
        curl_multi_remove_handle(m_multi, transfer->easy());
        return transfer;
    }

    void giveUp(Transfers::iterator position, const std::string& reason) { remove(position)->giveUp(reason); }

    void takeResults()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURLcode result = message->data.result;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            remove(m_transfers.find(transfer->number()))->end(result);
        }
    }

    void endSilentTransfers()
    {
        auto time = now();
        if (m_silenceLimits == 0 || time < m_nextSilenceCheck)
            return;
        m_nextSilenceCheck = time + std::chrono::milliseconds(silenceCheckMilliseconds);
        for (auto position = m_transfers.begin(); position != m_transfers.end();) {
            auto next = std::next(position);
            if (position->second->silentTooLong(time))
                giveUp(position, "nothing arrived for too long");
            position = next;
        }
    }

    CURLM* m_multi = nullptr;
    std::thread m_thread;
    // The client's thread alone uses these.
    Transfers m_transfers;
    int m_silenceLimits = 0;
    base::Instant m_nextSilenceCheck;

    std::mutex m_mutex;
    std::vector<std::unique_ptr<Transfer>> m_added;
    std::vector<uint64_t> m_cancelled;
    uint64_t m_nextNumber = 1;
    bool m_stopping = false;
};

namespace {

class CallHandle final : public HttpCallHandle {
public:
    explicit CallHandle(std::function<void()> cancel)
        : m_cancel(std::move(cancel))
    {
    }
    ~CallHandle() override { m_cancel(); }
    void cancel() override { m_cancel(); }

private:
    std::function<void()> m_cancel;
};

} // namespace

HttpClient::HttpClient()
    : m_implementation(std::make_shared<Implementation>())
{
    Implementation::launch(m_implementation);
}

HttpClient::~HttpClient() { Implementation::stop(m_implementation); }

std::unique_ptr<HttpCallHandle> HttpClient::start(HttpCall call, std::shared_ptr<HttpListener> listener)
{
    uint64_t number = m_implementation->add(std::move(call), std::move(listener));
    std::weak_ptr<Implementation> implementation = m_implementation;
    return std::make_unique<CallHandle>([implementation, number] {
        if (auto alive = implementation.lock())
            alive->cancel(number);
    });
}

void HttpClient::fetchAsync(HttpCall call, std::function<void(HttpReply)> callback)
{
    m_implementation->add(std::move(call), std::make_shared<Collector>(std::move(callback)));
}

HttpReply HttpClient::fetch(HttpCall call)
{
    std::mutex mutex;
    std::condition_variable arrived;
    std::optional<HttpReply> result;
    fetchAsync(std::move(call), [&](HttpReply reply) {
        std::lock_guard lock(mutex);
        result = std::move(reply);
        arrived.notify_one();
    });
    std::unique_lock lock(mutex);
    arrived.wait(lock, [&] { return result.has_value(); });
    return std::move(*result);
}

} // namespace toucanstep::formats
