#include "Callers.h"

#include <algorithm>

namespace review {

void CallLog::add(Sent sent)
{
    std::lock_guard lock(m_mutex);
    m_list.push_back(std::move(sent));
}

std::vector<Sent> CallLog::list()
{
    std::lock_guard lock(m_mutex);
    return m_list;
}

std::string newId()
{
    static std::atomic<int64_t> last = 0;
    return "c" + std::to_string(++last);
}

double secondsSince(Clock::time_point start, Clock::time_point time)
{
    return std::chrono::duration<double>(time - start).count();
}

Callers::Callers(CallLog& log, const Machine& machine, CallShape shape, double perSecond, int threads)
    : m_log(log)
    , m_machine(machine)
    , m_shape(std::move(shape))
    , m_interval(threads / perSecond)
{
    for (int thread = 0; thread < threads; ++thread)
        m_threads.emplace_back([this, thread, threads] {
            std::this_thread::sleep_for(m_interval * thread / threads);
            run(thread);
        });
}

Callers::~Callers()
{
    m_ended = true;
    for (auto& thread : m_threads)
        thread.join();
}

void Callers::run(int)
{
    std::unique_ptr<Connection> connection;
    auto next = Clock::now();
    while (!m_ended) {
        callOnce(connection, newId());
        next += std::chrono::duration_cast<Clock::duration>(m_interval);
        // What was missed while an answer took long isn't made up for.
        next = std::max(next, Clock::now());
        std::this_thread::sleep_until(next);
    }
}

void Callers::callOnce(std::unique_ptr<Connection>& connection, const std::string& id)
{
    constexpr auto connectTime = std::chrono::seconds(1);
    if (!connection)
        connection = Connection::open(m_machine.callers(), Clock::now() + connectTime);
    if (!connection)
        return;
    std::string text = m_shape.method + " " + m_shape.path + " HTTP/1.1\r\nHost: " + m_shape.host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(m_shape.deadlineMilliseconds) + "\r\nCredential: " + m_shape.key + "\r\n";
    for (const auto& [name, value] : m_shape.headers) {
        text += name;
        text += ": " + value + "\r\n";
    }
    Sent sent { id, m_machine.name(), Clock::now(), {}, 0, {} };
    connection->send(text + "\r\n");
    auto response = connection->readResponse(sent.at + std::chrono::milliseconds(m_shape.deadlineMilliseconds));
    sent.answered = Clock::now();
    if (response) {
        sent.status = response->status;
        sent.body = response->body;
    }
    if (!response || !response->whole || response->header("Connection") == "close")
        connection.reset();
    m_log.add(std::move(sent));
}

} // namespace review
