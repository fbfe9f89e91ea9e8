// Callers that send at a steady rate, and the record of what they sent and what was answered.

#pragma once

#include "Platform.h"

namespace review {

struct Sent {
    std::string id;
    std::string machine;
    Clock::time_point at;
    Clock::time_point answered;
    // 0 for a connection that ended without an answer.
    int status = 0;
    std::string body;
};

class CallLog {
public:
    void add(Sent);
    std::vector<Sent> list();

private:
    std::mutex m_mutex;
    std::vector<Sent> m_list;
};

struct CallShape {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string key;
    Headers headers;
    int deadlineMilliseconds = 1500;
};

// Sends calls to one machine, each on a connection that is kept, until it is destroyed.
class Callers {
public:
    Callers(CallLog&, const Machine&, CallShape, double perSecond, int threads);
    ~Callers();

private:
    void run(int thread);
    void callOnce(std::unique_ptr<Connection>&, const std::string& id);

    CallLog& m_log;
    const Machine& m_machine;
    CallShape m_shape;
    std::chrono::duration<double> m_interval;
    std::atomic<bool> m_ended = false;
    std::vector<std::thread> m_threads;
};

// Another id for each call.
std::string newId();

// The rule QUOTA: in a window, what a tenant's calls cost that were both sent and arrived at an engine that ran them.
struct Quota {
    double perSecond = 0;
    double burst = 0;
    double windowSeconds = 8;
    double overshoot = 0;
    double tolerance = 0;
    double costOfCall = 0;
    double allowed() const { return (perSecond * windowSeconds + burst) * (1 + overshoot) + tolerance; }
};

struct QuotaUse {
    double most = 0;
    double from = 0;
};

// Seconds count from `start`.
QuotaUse mostInWindow(const Quota&, const std::vector<Engine::Run>&, const std::vector<Sent>&, Clock::time_point start);

double secondsSince(Clock::time_point start, Clock::time_point time);

} // namespace review
