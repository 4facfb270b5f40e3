#!/usr/bin/env node
import { runDaemon } from '@eelgrassmux/daemon/runDaemon'
import { controlProgram } from './lib/ControlDaemon.js'

await runDaemon(controlProgram, process.argv.slice(2))
