import type { Dispatcher } from 'undici';
import { readSignature } from '@dandelionlane/platform-adapter';

/** An answer as far as it came. */
interface ReadAnswer {
  readonly status: number;
  readonly signature: string | null;
  readonly body: string;
  readonly whole: boolean;
}

/** Reads an answer to its end, or to where its connection ends. */
export default async function readAnswer(
  { statusCode, headers, body }: Dispatcher.ResponseData,
): Promise<ReadAnswer> {
  const chunks: Buffer[] = [];
  let whole = true;
  try {
    for await (const chunk of body) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    // The connection has ended early: the answer is not whole.
    whole = false;
  }
  return {
    status: statusCode,
    signature: readSignature(headers),
    body: Buffer.concat(chunks).toString('utf8'),
    whole,
  };
}
