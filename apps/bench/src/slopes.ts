/** `npm run slopes`: the slopes behind docs/CAPACITY.md. */
import { measureSlopes } from './lib/measure/measureSlopes.js'

await measureSlopes(line => { process.stdout.write(`${line}\n`) })
