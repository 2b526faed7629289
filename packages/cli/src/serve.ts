/** The command that runs a node. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { Service, makeLog } from '@tealdock/adapters';
import { Stats } from '@tealdock/controller';
import type { OperatorSettings, Settings } from '@tealdock/wire';

/** Runs a node. The seed differs by process, so that nodes do not move in step. */
export function serve(
  settings: Settings,
  operator: OperatorSettings,
  failed: (message: string) => void,
): void {
  const log = makeLog(process.env['LOG_LEVEL'], settings.member);
  const generator = xoroshiro128plus(Date.now() ^ (process.pid << 8));
  const random = () => uniformFloat64(generator);
  const service = new Service({ settings, operator, random, log, stats: new Stats() });
  service.start((error) => failed(`cannot listen: ${error.message}`));
}
