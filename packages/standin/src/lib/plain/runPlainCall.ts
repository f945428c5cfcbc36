import { Result } from 'neverthrow';
import { z } from 'zod';
import type PlainAnswer from './PlainAnswer.js';
import type PlainCall from './PlainCall.js';
import type SlotBook from './SlotBook.js';

const Booking = z.object({ slot: z.string().min(1) });

const parseJSON = Result.fromThrowable((text: string): unknown => JSON.parse(text));

function bookSlot(call: PlainCall, book: SlotBook): PlainAnswer {
  const booking = Booking.safeParse(parseJSON(call.body).unwrapOr(undefined));
  if (!booking.success) {
    return { status: 422, body: { detail: 'a booking names a slot' } };
  }
  const { slot } = booking.data;
  return { status: 201, body: { slot, run: book.book(call.service, slot) } };
}

/** Runs a call of the plain application. The effect is there when this returns. */
export default function runPlainCall(call: PlainCall, book: SlotBook): PlainAnswer {
  switch (`${call.method} ${call.path}`) {
    case 'POST /slots':
      return bookSlot(call, book);
    case 'GET /slots':
      return { status: 200, body: { slots: book.list(call.service) } };
    default:
      return { status: call.path === '/echo' ? 200 : 404, body: call };
  }
}
