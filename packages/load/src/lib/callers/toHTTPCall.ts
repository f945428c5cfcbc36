import { HEADERS } from '@dandelionlane/core';
import type PlannedCall from '../arrivals/PlannedCall.js';
import type HTTPCall from './HTTPCall.js';
import toMessages from './toMessages.js';

const JSON_TYPE = { 'content-type': 'application/json' };

/** The HTTP request that sends a planned call. */
export default function toHTTPCall(call: PlannedCall, timeoutMilliseconds: number): HTTPCall {
  const { content, service } = call;
  const headers = {
    [HEADERS.team]: call.team,
    [HEADERS.requestId]: call.requestId,
    [HEADERS.timeout]: String(timeoutMilliseconds),
  };
  switch (content.kind) {
    case 'chat':
      return {
        method: 'POST',
        path: '/v1/chat/completions',
        headers: { ...headers, ...JSON_TYPE },
        body: JSON.stringify({
          model: service,
          messages: toMessages(content.prompt),
          max_tokens: content.maximumTokens,
          stream: content.stream,
          priority: content.priority,
        }),
      };
    case 'plain': {
      const query = `note=${content.note}&delayMilliseconds=${content.delayMilliseconds}`;
      return {
        method: 'GET', path: `/v1/services/${service}/echo?${query}`, headers, body: null,
      };
    }
    case 'keyed':
      return {
        method: 'POST',
        path: `/v1/services/${service}/slots?delayMilliseconds=${content.delayMilliseconds}`,
        headers: { ...headers, ...JSON_TYPE, [HEADERS.idempotencyKey]: content.key },
        body: JSON.stringify({ slot: content.slot }),
      };
    default:
      return content satisfies never;
  }
}
