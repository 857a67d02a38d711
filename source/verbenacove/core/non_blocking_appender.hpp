#ifndef VERBENACOVE_CORE_NON_BLOCKING_APPENDER_HPP
#define VERBENACOVE_CORE_NON_BLOCKING_APPENDER_HPP

#include <log4cplus/appender.h>

#include <cstddef>
#include <string>

namespace verbenacove
{

/** Writes log lines to a descriptor without ever waiting for its reader.

    Lines for which there is no room are kept up to a bound. Those beyond it are
    dropped and counted, and a line of JSON with their number follows when there
    is room again.
*/
class non_blocking_appender : public log4cplus::Appender
{
public:
    /** Maximum number of bytes that wait for the reader. */
    static constexpr std::size_t maximum_unsent_bytes = std::size_t{64} * 1024;

    /** @param descriptor  is not closed by the appender */
    explicit non_blocking_appender(int descriptor);
    ~non_blocking_appender() override;
    non_blocking_appender(non_blocking_appender const&) = delete;
    non_blocking_appender& operator=(non_blocking_appender const&) = delete;

    void close() override;

protected:
    /** Called with the appender's lock held. */
    void append(log4cplus::spi::InternalLoggingEvent const& event) override;

private:
    void send();
    bool is_writable() const;

    int const descriptor_;
    std::string unsent_;
    /** Number of lines dropped since the last that was kept. */
    int dropped_ = 0;
};

} // namespace verbenacove

#endif
