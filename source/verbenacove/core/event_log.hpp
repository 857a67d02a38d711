#ifndef VERBENACOVE_CORE_EVENT_LOG_HPP
#define VERBENACOVE_CORE_EVENT_LOG_HPP

#include <QJsonValue>

#include <initializer_list>
#include <string>
#include <utility>

namespace verbenacove
{

/** One named value of an event. */
using event_field = std::pair<char const*, QJsonValue>;

/** Writes one part's events, each as one line of JSON on standard output.

    A line holds the time, the part, the event's name and its values. The
    lines of each event's name are bounded by `lines_per_second`; those beyond
    are counted, and the next line says how many are missing.
*/
class event_log
{
public:
    /** The lines that one event's name may have in a second. */
    static constexpr int lines_per_second = 100;

    explicit event_log(char const* part);

    /** Writes an event; does nothing until start_structured_logging. */
    void note(char const* event,
              std::initializer_list<event_field> fields) const;

private:
    std::string part_;
};

} // namespace verbenacove

#endif
