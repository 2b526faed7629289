/** The soak: `node packages/testing/dist/soak/main.js --seeds 1-50`; see docs/operations.md. */
import { spawn } from 'node:child_process';
import { parseArgs } from 'node:util';
import { parseSeeds } from '../simulation/seeded-random.js';
import { endWithParent } from './child-guard.js';
import { runSeed, type SoakResult } from './soak-run.js';

/** Seeds divisible by this run with a fleet so large that it strains the controllers. */
const LARGE_RUN_SEED_INTERVAL = 10;
const LARGE_MACHINE_COUNT = 300;
/** A run fails if its stand-ins were blocked for longer: it then says nothing about the rules. */
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

const machineCountFor = (seed: number): number =>
  seed % LARGE_RUN_SEED_INTERVAL === 0 ? LARGE_MACHINE_COUNT : Number(values.machines);

/**
 * Runs a seed in a child process, so that concurrent runs don't block each other's event loop. The
 * child exits when its IPC channel to this process closes.
 */
function runInChild(seed: number): Promise<SoakResult> {
  const args = ['--one', '--seeds', String(seed), '--machines', String(machineCountFor(seed))];
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

const hasPassed = (result: SoakResult): boolean =>
  result.problems.length === 0 && result.longestStallMs <= MAX_STALL_MS;

function printResult(result: SoakResult): void {
  const { seed, machines, faults, accepted, cancellationsConfirmed, startsChecked } = result;
  const { answersChecked, longestStallMs, tookMs } = result;
  print(
    `${hasPassed(result) ? 'ok' : 'not ok'} seed ${seed}: ${machines} machines, ${faults} faults, ` +
      `${accepted} jobs, ${cancellationsConfirmed} cancellations confirmed, ` +
      `${startsChecked} starts, ${answersChecked} answers, ` +
      `stall ${longestStallMs} ms, ${Math.round(tookMs / 1000)} s`,
  );
  for (const problem of result.problems) print(`    ${problem}`);
}

async function runAll(seeds: number[]): Promise<void> {
  const pendingSeeds = [...seeds];
  const results: SoakResult[] = [];
  const runPending = async () => {
    for (let seed = pendingSeeds.shift(); seed !== undefined; seed = pendingSeeds.shift()) {
      const result = await runInChild(seed);
      printResult(result);
      results.push(result);
    }
  };
  await Promise.all(Array.from({ length: Number(values.jobs) }, runPending));
  const sum = (valueOf: (result: SoakResult) => number) =>
    results.reduce((total, r) => total + valueOf(r), 0);
  const failed = results.filter((result) => !hasPassed(result)).length;
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
  print(JSON.stringify(await runSeed(options)));
} else await runAll(seeds);
