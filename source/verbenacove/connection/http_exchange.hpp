#ifndef VERBENACOVE_CONNECTION_HTTP_EXCHANGE_HPP
#define VERBENACOVE_CONNECTION_HTTP_EXCHANGE_HPP

#include "verbenacove/connection/http_message.hpp"

#include <QPointer>

#include <functional>
#include <vector>

namespace verbenacove
{

class http_connection;

/** One request in hand, and the place for its answer.

    It lives on its server's thread. Whoever drops it without an answer makes
    the caller get 500 with the verdict `may-have-run`.

    @see http_server
*/
class http_exchange
{
public:
    /** Creates the exchange of a connection's request; `sequence` is the
        request's number on the connection. */
    http_exchange(http_request request, http_connection* connection,
                  quint64 sequence);
    ~http_exchange();
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    /** Returns the whole request. */
    http_request const& request() const;

    /** Sends the answer, after those to earlier requests of the connection.

        Call it once; it does nothing when the caller has left. The server
        sets Content-Length and Connection, whatever the response says of
        them, and leaves out headers that cannot be written.
    */
    void respond(http_response const& response);

    /** Returns true when the end of the caller's connection has been read. */
    bool is_cancelled() const;

    /** Looks whether the caller has closed its connection, and cancels the
        exchange if so. The end may have come long before it is read: a loop
        that is late reads the request first. To be called before work is begun
        that is of use only to a caller which waits.

        @return whether the caller still waits
    */
    bool check_caller();

    /** Sets what is called when the caller's connection closes before the
        answer, once; at once when it has closed already. */
    void on_cancelled(std::function<void()> call);

private:
    friend class http_connection;
    void cancel();
    void forget_connection();

    http_request const request_;
    QPointer<http_connection> connection_;
    quint64 const sequence_;
    bool is_answered_ = false;
    bool is_cancelled_ = false;
    std::vector<std::function<void()>> cancel_calls_;
};

} // namespace verbenacove

#endif
