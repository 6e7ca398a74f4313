#include "StandIns/FaultExchanges.h"

#include <utility>

namespace Damaskgrade {

DiscardingExchange::DiscardingExchange(HttpRequest request)
    : request_(std::move(request))
{
}

LostAnswerExchange::LostAnswerExchange(std::shared_ptr<HttpExchange> inner, bool closes)
    : inner_(std::move(inner))
    , closes_(closes)
{
}

void LostAnswerExchange::respond(HttpResponse)
{
    lose();
}

void LostAnswerExchange::setCloseHandler(std::function<void()> handler)
{
    inner_->setCloseHandler(std::move(handler));
}

void LostAnswerExchange::lose()
{
    if (closes_)
        inner_->abort();
    else
        inner_->respond({ 503, {}, "" });
}

}
