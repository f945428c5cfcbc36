import type LogFields from './LogFields.js';

/** Logger of one part of a process. Messages are short sentences. */
export default interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}
