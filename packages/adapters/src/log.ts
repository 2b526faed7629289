/** The log on standard error. */
import pino from 'pino';
import type { Log } from '@tealdock/controller';

const LEVELS = ['error', 'info', 'debug'];
const DEFAULT_LEVEL = 'info';
const STANDARD_ERROR_FD = 2;

/**
 * Creates a log that writes JSON lines to standard error. `level` is the value of LOG_LEVEL; if it
 * is undefined or unknown, the level is `info`.
 */
export function makeLog(level: string | undefined, member: string): Log {
  const isKnown = level !== undefined && LEVELS.includes(level);
  const options = { level: isKnown ? level : DEFAULT_LEVEL, base: { member } };
  const logger = pino(options, pino.destination({ fd: STANDARD_ERROR_FD, sync: true }));
  return (at, fields, message) => logger[at](fields, message);
}
