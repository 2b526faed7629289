/** The soak: `node packages/testing/dist/soak/main.js --seeds 1-50`; see docs/operations.md. */
import { spawn } from 'node:child_process';
import { parseArgs } from 'node:util';
import { parseSeeds } from '../simulation/seeded-random.js';
import { endWithParent } from './child-guard.js';
import { playSeed, type SoakResult } from './soak-run.js';

/** A run with as many machines as controllers have trouble with, for each so many others. */
const LARGE_RUN_INTERVAL = 10;
const LARGE_MACHINE_COUNT = 300;
/** A run whose stand-ins stood still for longer says nothing about the rules. */
const MAX_STALL_MS = 1000;

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1-50' },
    jobs: { type: 'string', default: '4' },
    machines: { type: 'string', default: '8' },
    seconds: { type: 'string', default: '40' },
    log: { type: 'string' },
    one: { type: 'boolean', default: false },
  },
});

const print = (text: string): void => void process.stdout.write(`${text}\n`);

const machinesFor = (seed: number): number =>
  seed % LARGE_RUN_INTERVAL === 0 ? LARGE_MACHINE_COUNT : Number(values.machines);

/**
 * Plays a seed in a process of its own, so that runs do not hold each other up. It ends with this
 * one, which it knows by the IPC channel.
 */
function playInChild(seed: number): Promise<SoakResult> {
  const args = ['--one', '--seeds', String(seed), '--machines', String(machinesFor(seed))];
  const script = process.argv[1] ?? '';
  if (values.log !== undefined) args.push('--log', values.log);
  const child = spawn(process.execPath, [script, ...args, '--seconds', values.seconds], {
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
  });
  let out = '';
  child.stdout!.on('data', (chunk: Buffer) => (out += chunk.toString()));
  return new Promise((resolve, reject) =>
    child.on('close', (code) => {
      if (code === 0) resolve(JSON.parse(out) as SoakResult);
      else reject(new Error(`seed ${seed} ended with ${code ?? 'a signal'}: ${out}`));
    }),
  );
}

const isFine = (result: SoakResult): boolean =>
  result.problems.length === 0 && result.longestStallMs <= MAX_STALL_MS;

function show(result: SoakResult): void {
  const { seed, machines, faults, accepted, cancellationsConfirmed, startsChecked } = result;
  const { answersChecked, longestStallMs, tookMs } = result;
  print(
    `${isFine(result) ? 'ok' : 'not ok'} seed ${seed}: ${machines} machines, ${faults} faults, ` +
      `${accepted} jobs, ${cancellationsConfirmed} cancellations confirmed, ` +
      `${startsChecked} starts, ${answersChecked} answers, ` +
      `stall ${longestStallMs} ms, ${Math.round(tookMs / 1000)} s`,
  );
  for (const problem of result.problems) print(`    ${problem}`);
}

async function playAll(seeds: number[]): Promise<void> {
  const left = [...seeds];
  const results: SoakResult[] = [];
  const work = async () => {
    for (let seed = left.shift(); seed !== undefined; seed = left.shift()) {
      const result = await playInChild(seed);
      show(result);
      results.push(result);
    }
  };
  await Promise.all(Array.from({ length: Number(values.jobs) }, work));
  const sum = (of: (result: SoakResult) => number) => results.reduce((all, r) => all + of(r), 0);
  const failed = results.filter((result) => !isFine(result)).length;
  print(
    `soak: ${sum((r) => r.faults)} faults, ${sum((r) => r.cancellationsConfirmed)} cancellations ` +
      `confirmed, ${sum((r) => r.startsChecked)} starts, ${sum((r) => r.answersChecked)} answers`,
  );
  print(`${results.length - failed} passed, ${failed} failed`);
  process.exitCode = failed === 0 ? 0 : 1;
}

const seeds = parseSeeds(values.seeds);
if (values.one) {
  endWithParent();
  const [seed = 1] = seeds;
  const options = {
    seed,
    machines: Number(values.machines),
    faultPeriod: Number(values.seconds) * 1000,
    logFolder: values.log ?? null,
  };
  print(JSON.stringify(await playSeed(options)));
} else await playAll(seeds);
