/** Decodes the hostile message that the arguments name, and prints the outcome as JSON. */
import { HOSTILE_MESSAGES } from './hostile-messages.js';

const MICROSECONDS_PER_MS = 1000;

const [group = '', name = ''] = process.argv.slice(2);
const message = HOSTILE_MESSAGES[group]![name]!;
const bytes = message.bytes();
let refusedWith: string | null = null;
const before = process.cpuUsage();
try {
  message.decode(bytes);
} catch (error) {
  refusedWith = (error as Error).constructor.name;
}
const { user, system } = process.cpuUsage(before);
const processorMs = (user + system) / MICROSECONDS_PER_MS;
process.stdout.write(JSON.stringify({ refusedWith, processorMs }));
