/** The log on standard error. */
import pino from 'pino';
import type { Log } from '@tealdock/controller';

/** JSON lines on standard error, in the amount set by LOG_LEVEL. */
export function makeLog(level: string | undefined, member: string): Log {
  const known = ['error', 'info', 'debug'].includes(level ?? '');
  const options = { level: known ? level : 'info', base: { member } };
  const logger = pino(options, pino.destination({ fd: 2, sync: true }));
  return (at, fields, message) => logger[at](fields, message);
}
