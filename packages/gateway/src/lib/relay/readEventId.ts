const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/** The id of a server-sent event, or null when it has none. */
export default function readEventId(event: Buffer): string | null {
  return ID_LINE.exec(event.toString('latin1'))?.[1] ?? null;
}
