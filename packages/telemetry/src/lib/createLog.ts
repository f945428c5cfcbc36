import loglevel from 'loglevel';
import type { Clock } from '@dandelionlane/core';
import formatFields from './formatFields.js';
import type Log from './Log.js';
import type LineWriter from './LineWriter.js';
import type LogFields from './LogFields.js';
import type LogSettings from './LogSettings.js';

/**
 * Creates the log of one part of a process.
 *
 * Lines go to the writer, which never blocks, or to the console if there is none.
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

  function formatLine(level: string, message: string, fields: LogFields): string {
    const at = clock.now().toISOString();
    if (settings.format === 'json') {
      return JSON.stringify({
        at, level, part: prefix, message, ...fields,
      });
    }
    const fieldText = formatFields(fields);
    return `${at} ${level} [${prefix}] ${message}${fieldText === '' ? '' : ` ${fieldText}`}`;
  }

  // The level is checked before the line is formatted, so that suppressed lines cost almost nothing.
  return {
    debug(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.DEBUG) {
        logger.debug(formatLine('debug', message, fields));
      }
    },
    info(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.INFO) {
        logger.info(formatLine('info', message, fields));
      }
    },
    warn(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.WARN) {
        logger.warn(formatLine('warn', message, fields));
      }
    },
    error(message, fields = {}) {
      if (logger.getLevel() <= logger.levels.ERROR) {
        logger.error(formatLine('error', message, fields));
      }
    },
  };
}
