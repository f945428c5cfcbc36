import { expectedAnswer, promptOf } from '@dandelionlane/standin';
import { z } from 'zod';
import type PlannedCall from '../arrivals/PlannedCall.js';
import type CallOutcome from './CallOutcome.js';
import toMessages from './toMessages.js';

const Choice = z.object({ message: z.object({ content: z.string() }) });
const ChatBody = z.object({ choices: z.array(Choice).min(1) });
const EchoBody = z.object({ query: z.object({ note: z.string() }) });
const SlotBody = z.object({ slot: z.string(), run: z.number() });

function compare(found: unknown, wanted: unknown): CallOutcome {
  return found === wanted
    ? { kind: 'answered' }
    : { kind: 'wrong', detail: `${String(found).slice(0, 80)} instead of ${String(wanted).slice(0, 80)}` };
}

/** Checks that a whole answer is the one to this call, and that a booking ran for the first time. */
export default function checkBody({ content }: PlannedCall, body: unknown): CallOutcome {
  switch (content.kind) {
    case 'chat': {
      const expected = expectedAnswer(promptOf(toMessages(content.prompt)), content.maximumTokens);
      return compare(ChatBody.safeParse(body).data?.choices[0]?.message.content, expected);
    }
    case 'plain':
      return compare(EchoBody.safeParse(body).data?.query.note, content.note);
    case 'keyed': {
      const booking = SlotBody.safeParse(body).data;
      return compare(`${booking?.slot} run ${booking?.run}`, `${content.slot} run 1`);
    }
    default:
      return content satisfies never;
  }
}
