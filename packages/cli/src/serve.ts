/** The command that runs a node. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { ListenError, Service, makeLog } from '@tealdock/adapters';
import { Stats } from '@tealdock/controller';
import type { OperatorSettings, Settings } from '@tealdock/wire';
import { CommandError, EXIT_CODES } from './command-error.js';

/** Runs a node until the process is killed; throws `CommandError` if it can't listen. */
export async function serve(settings: Settings, operator: OperatorSettings): Promise<void> {
  const log = makeLog(process.env['LOG_LEVEL'], settings.member);
  // Each process has its own seed, so that nodes do not draw the same random delays.
  const generator = xoroshiro128plus(Date.now() ^ (process.pid << 8));
  const random = () => uniformFloat64(generator);
  const service = new Service({ settings, operator, random, log, stats: new Stats() });
  try {
    await service.run();
  } catch (error) {
    if (!(error instanceof ListenError)) throw error;
    throw new CommandError(error.message, EXIT_CODES.failure, { cause: error });
  }
}
