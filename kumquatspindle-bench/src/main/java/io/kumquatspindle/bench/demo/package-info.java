/** The demo: a small site from the first ticket to a regular stop. */
package io.kumquatspindle.bench.demo;
