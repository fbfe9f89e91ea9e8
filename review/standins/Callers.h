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

double secondsSince(Clock::time_point start, Clock::time_point time);

} // namespace review
