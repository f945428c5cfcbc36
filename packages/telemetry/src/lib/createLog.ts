import loglevel from 'loglevel';
import type { Clock } from '@dandelionlane/core';
import formatFields from './formatFields.js';
import type Log from './Log.js';
import type LineWriter from './LineWriter.js';
import type LogFields from './LogFields.js';
import type LogSettings from './LogSettings.js';

/**
 * A log for one part of a process.
 *
 * With a writer, lines go there and never block; otherwise to the console.
 *
 * @example
 * const log = createLog('routing', { level: 'info', format: 'text' }, new SystemClock());
 * log.info('Target chosen.', { replica: 'proofs-1', reason: 'fewest-tokens' });
 */
export default function createLog(
  prefix: string,
  settings: LogSettings,
  clock: Clock,
  writer?: LineWriter,
): Log {
  const logger = loglevel.getLogger(prefix);
  if (writer !== undefined) {
    logger.methodFactory = () => (text: string) => writer.writeLine(text);
  }
  logger.setLevel(settings.level, false);

  function line(level: string, message: string, fields: LogFields): string {
    const at = clock.now().toISOString();
    if (settings.format === 'json') {
      return JSON.stringify({
        at, level, part: prefix, message, ...fields,
      });
    }
    const words = formatFields(fields);
    return `${at} ${level} [${prefix}] ${message}${words === '' ? '' : ` ${words}`}`;
  }

  // The level is checked before the line is built: suppressed lines cost next to nothing.
  return {
    debug(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.DEBUG) {
        logger.debug(line('debug', message, fields));
      }
    },
    info(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.INFO) {
        logger.info(line('info', message, fields));
      }
    },
    warn(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.WARN) {
        logger.warn(line('warn', message, fields));
      }
    },
    error(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.ERROR) {
        logger.error(line('error', message, fields));
      }
    },
  };
}
