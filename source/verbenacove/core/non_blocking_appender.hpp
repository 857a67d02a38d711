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

    Other processes may write to the same pipe: each write holds whole lines,
    unless a line is longer than `PIPE_BUF`.
*/
class non_blocking_appender : public log4cplus::Appender
{
public:
    /** Maximum number of bytes that wait for the reader. */
    static constexpr std::size_t maximum_unsent_bytes = std::size_t{64} * 1024;

    /** @param descriptor  is neither changed nor closed by the appender */
    explicit non_blocking_appender(int descriptor);
    ~non_blocking_appender() override;
    non_blocking_appender(non_blocking_appender const&) = delete;
    non_blocking_appender& operator=(non_blocking_appender const&) = delete;

    void close() override;

    /** Sends kept lines for which there is room by now. Call it regularly: a
        process that logs nothing more would keep them. */
    void flush();

protected:
    /** Called with the appender's lock held. */
    void append(log4cplus::spi::InternalLoggingEvent const& event) override;

private:
    /** How a write avoids waiting. */
    enum class write_mode
    {
        /** The descriptor is a non-blocking one of its own. */
        own_descriptor,
        /** Each call on the socket asks not to wait. */
        socket,
        /** Writes follow a check for room. */
        polled
    };

    void open_own_descriptor();
    void send();
    long write_some(char const* bytes, std::size_t size) const;
    bool is_writable() const;

    int descriptor_;
    write_mode mode_ = write_mode::polled;
    std::string unsent_;
    /** Number of lines dropped since the last that was kept. */
    int dropped_ = 0;
};

} // namespace verbenacove

#endif
