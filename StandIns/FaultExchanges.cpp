#include "StandIns/FaultExchanges.h"

#include <utility>

namespace Damaskgrade {

DiscardingExchange::DiscardingExchange(HttpRequest request)
    : request_(std::move(request))
{
}

LostResponseExchange::LostResponseExchange(std::shared_ptr<HttpExchange> inner, bool closesConnection)
    : inner_(std::move(inner))
    , closesConnection_(closesConnection)
{
}

void LostResponseExchange::respond(HttpResponse)
{
    loseResponse();
}

void LostResponseExchange::setCloseHandler(std::function<void()> handler)
{
    inner_->setCloseHandler(std::move(handler));
}

void LostResponseExchange::loseResponse()
{
    if (closesConnection_)
        inner_->abort();
    else
        inner_->respond({ 503, {}, "" });
}

}
